"""Serves calls on the host that owns their program.

The dispatcher admits a call according to the state of its program. A repeat
joins the run in progress or gets the stored answer; any other call is executed
by an `Executor`.
"""

import asyncio
import json
import logging
from dataclasses import dataclass

import mode

from sapphireyard.configuration.tables import Route
from sapphireyard.exceptions import (
    EXECUTED_UNKNOWN,
    CallError,
    JournalSealed,
    NotOwner,
    PeerError,
    StoreUnavailable,
)
from sapphireyard.journal.generated_records import (
    ProgramEnded,
    ProgramLinked,
    ProgramOpened,
)
from sapphireyard.programs.calls import CALL_COMPLETED, Admission, admit, make_gap_error
from sapphireyard.programs.executions import Execution
from sapphireyard.programs.executor import Executor
from sapphireyard.programs.programs import Program
from sapphireyard.programs.reservations import STORE_RETRY_SECONDS
from sapphireyard.programs.runs import Run
from sapphireyard.programs.views import describe, describe_history
from sapphireyard.streams.generated_messages import (
    AnswerChunk,
    AnswerEnd,
    AnswerStart,
    Done,
    ForwardCall,
    InspectProgram,
    LinkProgram,
    ProgramElsewhere,
    ProgramView,
)
from sapphireyard.tasks import start_task
from sapphireyard.upstreams.completions import build_chunks, digest_content, dump_json

logger = logging.getLogger(__name__)

FIRST_SEQUENCE = 1
GAP_TIMEOUT_SECONDS = 2.0
"""How long a call waits for its predecessors to arrive."""

QUERY_TIMEOUT_SECONDS = 5.0
LINK_RETRY_SECONDS = 0.1
"""Pause before a host that did not take a link is looked up and asked again."""
ENDED_BY_CALLER = "ended by the caller"


class Dispatcher(mode.Service):
    """Serves the calls and queries of programs owned by this host.

    Parameters
    ----------
    runtime : Runtime
        Runtime of the process this belongs to.
    """

    def __init__(self, runtime):
        super().__init__()
        self._runtime = runtime
        self._executor = Executor(runtime)
        self._runs = set()
        runtime.peers.register_stream(ForwardCall, self.handle_call)
        runtime.peers.register(InspectProgram, self.handle_inspect)
        runtime.peers.register(LinkProgram, self.handle_link)

    @property
    def running_calls(self):
        """int: Calls in progress on this host."""
        return len(self._runs)

    async def on_stop(self):
        for run in list(self._runs):
            run.task.cancel()

    async def handle_call(self, call, context):
        """Serve a `ForwardCall` and yield the messages of its answer.

        Raises
        ------
        NotOwner
            Another host owns the program.
        CallError
            The call was refused or failed.
        """
        body = json.loads(call.body)
        request = _Request(
            call=call,
            body=body,
            digest=digest_content(call.route, body),
            route=self._find_route(call.route),
            deadline=self._runtime.clock.monotonic() + call.deadline_seconds,
        )
        if not call.program:
            program = Program("", "", self._runtime.clock.wall())
            run = self._start_run(request, program, None, FIRST_SEQUENCE)
            async for message in run.follow(stream=call.stream):
                yield message
            return
        partition = await self._wait_for_partition(call.root, request.deadline)
        other_root = self._find_other_root(partition, call.root)
        if other_root:
            yield ProgramElsewhere(root=other_root)
            return
        program = await self._get_or_open(partition, call, request.deadline)
        decision = await self._admit(request, program, partition)
        if decision.admission is Admission.REPLAY:
            await self._runtime.texts.load(partition, program)
            for message in self._replay(program, decision.sequence, call):
                yield message
            return
        if decision.admission is Admission.RUN:
            self._start_run(request, program, partition, decision.sequence)
        run = program.running
        if run is None:
            raise NotOwner("unknown: this host lost the program")
        async for message in run.follow(stream=call.stream):
            yield message

    async def handle_inspect(self, query, context):
        """Serve an `InspectProgram`."""
        deadline = self._runtime.clock.monotonic() + QUERY_TIMEOUT_SECONDS
        key = f"{query.customer}/{query.program}"
        root = query.root or key
        partition = await self._wait_for_partition(root, deadline)
        other_root = self._find_other_root(partition, root)
        if other_root:
            return ProgramElsewhere(root=other_root)
        program = self._runtime.programs.get(partition, key)
        if program is None:
            raise CallError("program_unknown", f"no program {query.program!r}")
        if query.end:
            await self.end_program(partition, program, ENDED_BY_CALLER)
        view = describe(program)
        if query.history:
            await self._runtime.texts.load(partition, program)
            view = describe_history(program)
        return ProgramView(body=dump_json(view))

    async def handle_link(self, request, context):
        """Serve a `LinkProgram`: record which root holds a sub-agent's state."""
        deadline = self._runtime.clock.monotonic() + QUERY_TIMEOUT_SECONDS
        partition = await self._wait_for_partition(request.program, deadline)
        if self._runtime.programs.get(partition, request.program) is None:
            record = ProgramLinked(request.program, request.root)
            await self._record([record], partition)
        return Done()

    async def end_program(self, partition, program, reason):
        """End a program and its sub-agents and release their engine memory."""
        members = [
            each
            for each in self._runtime.programs.list_programs(partition)
            if each is program or (program.is_root and each.root == program.key)
        ]
        records = [ProgramEnded(each.key, reason) for each in members if not each.ended]
        if not records:
            return
        await self._record(records, partition)
        for each in members:
            if each.running is not None:
                self._cancel_run(each.running, CallError("program_ended", reason))
            await self._executor.release(each)

    async def _record(self, records, partition):
        """Commit records to the journal, then apply them."""
        try:
            await self._runtime.journal.commit(records, partition=partition)
        except JournalSealed as error:
            raise NotOwner("unknown: this host lost the program") from error
        except StoreUnavailable as error:
            raise CallError(
                "store_unavailable",
                "the change cannot be recorded now",
                executed=EXECUTED_UNKNOWN,
                retry_after=STORE_RETRY_SECONDS,
            ) from error
        for record in records:
            self._runtime.programs.apply(partition, record)

    def cancel_runs_of_withdrawn_keys(self, is_withdrawn):
        """Cancel running calls whose API key was withdrawn."""
        for run in list(self._runs):
            if run.key_digest and is_withdrawn(run.key_digest):
                self._cancel_run(run, _make_withdrawal_error(run))

    async def _wait_for_partition(self, root, deadline):
        """Return the partition of `root` once this host may serve it.

        Waits for a recovery or a move in progress.
        """
        ownership = self._runtime.ownership
        while True:
            location = ownership.locate(root)
            if not location.is_self:
                raise NotOwner(location.host)
            remaining = deadline - self._runtime.clock.monotonic()
            if remaining <= 0:
                raise CallError(
                    "deadline_exceeded",
                    "the program was still being recovered or moved at the deadline",
                )
            try:
                await ownership.wait_ready(location.partition, timeout=remaining)
                if not self._runtime.programs.is_paused(location.partition):
                    ownership.check_owned(location.partition)
                    return location.partition
            except JournalSealed as error:
                raise NotOwner("unknown: this host lost the program") from error
            try:
                async with asyncio.timeout(remaining):
                    await self._runtime.programs.wait_resumed(location.partition)
            except TimeoutError:
                continue

    def _find_other_root(self, partition, key):
        program = self._runtime.programs.get(partition, key)
        if program is None or program.is_root:
            return ""
        location = self._runtime.ownership.locate(program.root)
        if not program.link and location.partition == partition:
            return ""
        return program.root

    async def _get_or_open(self, partition, call, deadline):
        key = f"{call.customer}/{call.program}"
        program = self._runtime.programs.get(partition, key)
        if program is not None:
            return program
        root = key
        if call.parent:
            parent = self._runtime.programs.get(
                partition, f"{call.customer}/{call.parent}"
            )
            if parent is None:
                raise CallError("program_unknown", f"no program {call.parent!r}")
            root = parent.root
            await self._link(key, root, partition, deadline)
        elif call.root != key:
            raise CallError("program_unknown", f"no program {call.program!r}")
        await self._wait_for_partition(root, deadline)
        record = ProgramOpened(
            program=key,
            root=root,
            opened_at=self._runtime.clock.wall(),
            **self._choose_budget(call, is_root=root == key),
        )
        self._runtime.programs.apply(partition, record)
        program = self._runtime.programs.get(partition, key)
        program.pending_opening = record
        return program

    def _choose_budget(self, call, *, is_root):
        """Return the caller's budget, or the customer's for a root without one."""
        limits = call
        customer = self._runtime.configuration.current.customers.get(call.customer)
        has_own_budget = call.budget_tokens or call.budget_calls or call.budget_seconds
        if is_root and not has_own_budget and customer is not None:
            limits = customer
        return {
            "budget_tokens": limits.budget_tokens,
            "budget_calls": limits.budget_calls,
            "budget_seconds": limits.budget_seconds,
        }

    async def _link(self, key, root, partition, deadline):
        """Leave a link to the root's partition in the partition of the program.

        Its owner may be lost or be replaced meanwhile. A link can be written twice.
        """
        while True:
            location = self._runtime.ownership.locate(key)
            if location.partition == partition:
                return
            remaining = deadline - self._runtime.clock.monotonic()
            if remaining <= 0:
                raise CallError(
                    "deadline_exceeded",
                    f"{location.host} did not take the link to the program's root",
                )
            try:
                await self._runtime.peers.ask(
                    location.host,
                    LinkProgram(key, root),
                    timeout=min(remaining, QUERY_TIMEOUT_SECONDS),
                )
                return
            except CallError as error:
                if error.code != NotOwner.CODE:
                    raise
                reason = error
            except PeerError as error:
                reason = error
            logger.info(
                "program not linked: %s",
                reason,
                extra={"decision": "link", "program": key, "owner": location.host},
            )
            await asyncio.sleep(LINK_RETRY_SECONDS)

    async def _admit(self, request, program, partition):
        """Return the decision on a call, after waiting for its predecessors."""
        call = request.call
        clock = self._runtime.clock
        gap_deadline = min(request.deadline, clock.monotonic() + GAP_TIMEOUT_SECONDS)
        while True:
            if self._runtime.programs.is_paused(partition):
                await self._wait_for_partition(program.root, request.deadline)
            self._check_current(program, partition)
            decision = admit(
                program,
                sequence=call.sequence,
                digest=request.digest,
                idempotency_key=call.idempotency_key,
            )
            if decision.admission is not Admission.WAIT:
                return decision
            if program.running is not None:
                gap_deadline = min(
                    request.deadline, clock.monotonic() + GAP_TIMEOUT_SECONDS
                )
            limit = gap_deadline if program.running is None else request.deadline
            remaining = limit - clock.monotonic()
            if remaining <= 0:
                raise self._make_wait_error(program, call)
            await self._wait_turn(program, remaining)

    def _check_current(self, program, partition):
        """Refuse a call whose program moved to another host while it waited."""
        if self._runtime.programs.get(partition, program.key) is not program:
            raise NotOwner(self._runtime.ownership.locate(program.root).host)

    def _make_wait_error(self, program, call):
        if program.running is None:
            return make_gap_error(program, call.sequence)
        return CallError(
            "deadline_exceeded",
            "an earlier call of the program is still running",
            retry_after=GAP_TIMEOUT_SECONDS,
        )

    async def _wait_turn(self, program, seconds):
        try:
            async with asyncio.timeout(seconds), program.run_ended:
                await program.run_ended.wait()
        except TimeoutError:
            return

    def _start_run(self, request, program, partition, sequence):
        call = request.call
        run = Run(
            program=call.program,
            sequence=sequence,
            digest=request.digest,
            key_digest=call.key_digest,
        )
        execution = Execution(
            run=run,
            program=program,
            partition=partition,
            call=call,
            body=request.body,
            route=request.route,
            deadline=request.deadline,
        )
        assert program.running is None, f"{program.key} is already running a call"
        program.running = run
        run.execution = execution
        run.task = start_task(self._run(execution), name="call")
        self._runs.add(run)
        return run

    def _cancel_run(self, run, error):
        """Cancel a run; its callers get `error`.

        A call that may not be repeated is left running, so that its outcome
        becomes known.
        """
        if not run.execution.route.repeatable:
            return
        run.execution.cancel_error = error
        run.task.cancel()

    def _find_route(self, name):
        self._runtime.configuration.check_fresh()
        route = self._runtime.configuration.current.routes.get(name)
        if route is None:
            raise CallError("route_unknown", f"no route {name!r}")
        return route

    async def _run(self, execution):
        run = execution.run
        try:
            await self._executor.execute(execution)
        except CallError as error:
            run.fail(error)
        except JournalSealed:
            run.fail(execution.make_loss_error())
        except asyncio.CancelledError:
            run.fail(execution.make_loss_error())
        except Exception:
            logger.exception("call failed", extra={"program": execution.program.key})
            run.fail(execution.make_internal_error())
        finally:
            self._runs.discard(run)
            execution.program.running = None
            await self._runtime.programs.notify()
            async with execution.program.run_ended:
                execution.program.run_ended.notify_all()

    def _replay(self, program, sequence, call):
        stored = program.calls[sequence]
        assert stored.state == CALL_COMPLETED
        start = AnswerStart(
            status=stored.status, program=call.program, sequence=sequence
        )
        if not call.stream or not stored.is_model_turn:
            return [start, AnswerEnd(body=stored.answer)]
        start.streamed = True
        chunks = build_chunks(json.loads(stored.answer))
        return [
            start,
            *(AnswerChunk(data=dump_json(chunk)) for chunk in chunks),
            AnswerEnd(),
        ]


@dataclass
class _Request:
    """An incoming call with its parsed body, route and deadline."""

    call: ForwardCall
    body: dict
    digest: str
    route: Route
    deadline: float


def _make_withdrawal_error(run):
    return CallError(
        "key_withdrawn", "the key was withdrawn", executed=run.execution.executed
    )
