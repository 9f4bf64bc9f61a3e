"""A host that keeps a copy of all histories and of the spending of programs."""

import asyncio
import contextlib
import json
import logging
import os
import secrets
from dataclasses import asdict
from pathlib import Path

import mode
import msgpack

from sapphireyard.exceptions import (
    CallError,
    PeerError,
    SapphireyardError,
    StoreConflict,
    StoreError,
)
from sapphireyard.fleet import generated_fleet
from sapphireyard.fleet.generated_fleet import CopySet
from sapphireyard.history import generated_history
from sapphireyard.history.copies import (
    explain_stay,
    fence_quorum,
    plan_join,
    plan_leave,
)
from sapphireyard.history.generated_history import (
    Chain,
    ChainQuery,
    RecordBatch,
    RecordsKept,
    RecordsQuery,
    Reservation,
    ReservationCounted,
    ReservationSynced,
    Settlement,
    SpendingQuery,
    TurnCommit,
    TurnSynced,
)
from sapphireyard.history.log import RecordLog, sync_folder
from sapphireyard.history.state import HistoryState
from sapphireyard.streams.frames import MessageCodec
from sapphireyard.tasks import start_task

logger = logging.getLogger(__name__)

COPIES_OBJECT = "copies/main"
"""Name of the set of copies in the platform's store."""
IDENTITY_FILE = "identity"
MAINTAIN_SECONDS = 0.25
"""Interval of the checks whether to join the set."""
JOIN_RETRY_SECONDS = 0.4
"""Interval between attempts to join, for example until members have started."""
SPARE_SECONDS = 2.0
"""Interval of the checks while the set needs no further member."""
GONE_SECONDS = 1.0
"""Silence after which another host may replace a member: longer than a missed
heartbeat, shorter than the time within which lost copies must be replaced."""
BATCH_BYTES = 512 * 1024
"""Size of a batch of records; well below the largest frame."""
BATCH_RECORDS = 200
"""Records examined for one batch; a copy serves no other request meanwhile."""
BATCH_TIMEOUT_SECONDS = 5.0
"""Longest wait for a batch of records."""
SERVING_TIMEOUT_SECONDS = 0.5
"""Longest wait for members to tell whether they serve."""
END_POSITION = 2**62
"""Position after which no copy has records: a query from there returns none."""
PURGE_SECONDS = 5.0
REPAIR_OVERLAP_SECONDS = 15.0
"""A restarted host also fetches records up to this much older than its newest one."""


class HistoryService(mode.Service):
    """Keeps records in a log and answers entry hosts from the state derived from them.

    Parameters
    ----------
    runtime : Runtime
        Provides settings, peers, store, gossip and clock.
    """

    def __init__(self, runtime):
        super().__init__()
        self._runtime = runtime
        self._codec = MessageCodec()
        self._codec.register_module(generated_history)
        self._codec.register_module(generated_fleet)
        self._log = RecordLog(Path(runtime.settings.data_folder) / "records")
        self._state = HistoryState()
        self._copies = CopySet()
        self._disk_id = ""
        self._serving = False
        self._retiring = False
        self._transferred = {}  # by host and disk: position after the records it has
        self._newest_written_at = 0.0
        self._join_at = float("-inf")
        runtime.peers.codec.register_module(generated_history)
        runtime.peers.register_stream(Reservation, self._serve_reservation)
        runtime.peers.register(SpendingQuery, self._serve_spending)
        runtime.peers.register(Settlement, self._serve_settlement)
        runtime.peers.register(TurnCommit, self._serve_commit)
        runtime.peers.register(ChainQuery, self._serve_chain)
        runtime.peers.register(RecordsQuery, self._serve_records)
        runtime.peers.register(RecordBatch, self._serve_batch)

    @property
    def copies(self):
        """CopySet: The set that this host uses."""
        return self._copies

    @property
    def serving(self):
        """bool: Whether this host answers as a member of the set."""
        return self._serving

    @property
    def _tolerated(self):
        return self._runtime.settings.tolerated_losses

    async def on_start(self):
        self._disk_id = self._read_identity()
        for position, payload in self._log.open():
            self._replay(payload, position)
        self._serving = self._copies.members.get(self._runtime.host) == self._disk_id
        logger.info(
            "history opened",
            extra={
                "decision": "open",
                "records": self._log.end,
                "set_version": self._copies.version,
                "settled": self._serving,
            },
        )
        if self._serving:
            self.add_future(self._repair())

    async def on_stop(self):
        with contextlib.suppress(SapphireyardError):
            await self._log.sync()
        self._log.close()

    @mode.Service.task
    async def _maintain(self):
        while not self.should_stop:
            if not self._serving:
                try:
                    await self._try_join()
                except (StoreError, PeerError, CallError) as error:
                    logger.info("could not join the set of copies: %s", error)
            await self.sleep(MAINTAIN_SECONDS)

    @mode.Service.timer(PURGE_SECONDS)
    async def _purge_regularly(self):
        self.purge_expired()

    def purge_expired(self):
        """Drop expired turns and spending, and delete files that are not needed."""
        needed = self._state.expire(self._now())
        self._log.drop_before(self._log.end if needed is None else needed)

    def update_copies(self, copies):
        """Adopt a newer set that another host already uses."""
        if copies is None or copies.version <= self._copies.version:
            return
        if self._serving:
            start_task(self._adopt(copies), name="newer set")

    async def retire(self):
        """Leave the set once the others can bear the tolerated losses without it.

        Returns once the host's disk is no longer needed. It may be called again after
        an error.

        Raises
        ------
        CallError
            ``history_unavailable``: the disk is still needed; the text says why.
        StoreError
            The set cannot be read or changed.
        """
        self._retiring = True
        stored, copies = await self._read_copies()
        if self._runtime.host in copies.members:
            await self._check_leave(copies, CopySet())
            copies = plan_leave(copies, self._runtime.host)
            await self._write_copies(stored, copies)
        await self._adopt(copies)
        await self._check_leave(copies, copies)

    async def _check_leave(self, copies, announced):
        """Transfer all records; raise `CallError` if this host's disk is needed.

        The set is announced because no other host may know it yet, and this one stops
        soon. An empty one announces nothing.
        """
        host = self._runtime.host
        others = [name for name in copies.members if name != host]
        tolerated = self._tolerated
        reason = explain_stay(copies, host, others, tolerated=tolerated)
        if not reason:
            stored = await asyncio.gather(
                *(self._transfer_records(each, copies, announced) for each in others)
            )
            holders = [name for name, has_all in zip(others, stored) if has_all]
            reason = explain_stay(copies, host, holders, tolerated=tolerated)
        if reason:
            raise CallError("history_unavailable", reason)

    async def _transfer_records(self, host, copies, announced):
        """Send all records to a member; return whether it serves and has them."""
        disk = copies.members[host]
        position = self._transferred.get((host, disk), 0)
        query = RecordsQuery(END_POSITION, 0.0, announced.version, announced.members)
        peers = self._runtime.peers
        try:
            await peers.ask(host, query, timeout=BATCH_TIMEOUT_SECONDS)
            while position < self._log.end:
                batch = self._read_batch(position, 0.0)
                await peers.ask(host, batch, timeout=BATCH_TIMEOUT_SECONDS)
                position = self._transferred[host, disk] = batch.position
        except (PeerError, CallError) as error:
            logger.info("records not transferred to %s: %s", host, error)
            return False
        return True

    async def _try_join(self):
        now = self._now()
        if now < self._join_at:
            return
        self._join_at = now + JOIN_RETRY_SECONDS
        stored, copies = await self._read_copies()
        if stored is None and not self._runtime.settings.bootstrap:
            logger.error("the store has no set of copies, and bootstrap is not set")
            return
        # A member that retires is needed, also with a new disk, until it has left.
        if self._retiring and self._runtime.host not in copies.members:
            return
        is_member = copies.members.get(self._runtime.host) == self._disk_id
        changed = plan_join(
            copies,
            self._runtime.host,
            self._disk_id,
            silent=self._is_gone,
            tolerated=self._tolerated,
        )
        if changed is None and not is_member:
            self._join_at = now + SPARE_SECONDS
            return
        kept = copies if changed is None else changed
        others = [name for name in copies.members if name in kept.members]
        others = [name for name in others if name != self._runtime.host]
        needed = self._count_fences(copies)
        positions = await self._fetch_all(others, CopySet(), {}, needed)
        if changed is not None:
            if not await self._may_change(copies, changed, positions):
                return
            # Also after a restart, it is known which set this host joins from.
            self._copies = copies
            self._append(copies)
            await self._log.sync()
            await self._write_copies(stored, changed)
            copies = changed
        await self._fence_and_join(copies, positions)

    async def _may_change(self, copies, changed, answered):
        """Return whether enough members serve for the set to change."""
        needed = self._count_fences(copies)
        if len(changed.members) > len(copies.members):
            # One member more needs more others to join from, so none may be missing.
            needed = len(copies.members)
            answered = await self._list_serving(copies.members)
        if len(answered) >= needed:
            return True
        logger.info("%d of %d members have answered", len(answered), needed)
        return False

    async def _list_serving(self, hosts):
        """Return the hosts that answer as serving members."""
        query = RecordsQuery(END_POSITION)
        answers = await asyncio.gather(
            *(
                self._runtime.peers.ask(host, query, timeout=SERVING_TIMEOUT_SECONDS)
                for host in hosts
            ),
            return_exceptions=True,
        )
        for answer in answers:
            if isinstance(answer, BaseException):
                if not isinstance(answer, (PeerError, CallError)):
                    raise answer
        return [h for h, a in zip(hosts, answers) if isinstance(a, RecordBatch)]

    async def _fence_and_join(self, copies, positions):
        """Make enough members refuse older sets, then serve."""
        others = [name for name in copies.members if name != self._runtime.host]
        joins_from = copies
        if self._copies.version == copies.version - 1:
            joins_from = self._copies
        needed = min(self._count_fences(joins_from), len(others))
        fenced = await self._fetch_all(others, copies, positions, needed)
        if len(fenced) < needed:
            logger.info("%d of %d members are fenced", len(fenced), needed)
            return
        await self._adopt(copies)
        logger.info(
            "joined the copies",
            extra={
                "decision": "join",
                "set_version": copies.version,
                "members": sorted(copies.members),
                "fenced": sorted(fenced),
            },
        )

    async def _fetch_all(self, hosts, copies, positions, needed):
        """Copy the records of as many of several hosts as are needed.

        Returns the position reached at each of those that answered first. The others
        are not waited for: a host that is cut off answers none of the requests.
        """
        tasks = {
            start_task(
                self._fetch(host, copies, positions.get(host, 0)), name="records"
            ): host
            for host in hosts
        }
        reached = {}
        waiting = set(tasks)
        try:
            while waiting and len(reached) < needed:
                done, waiting = await asyncio.wait(
                    waiting, return_when=asyncio.FIRST_COMPLETED
                )
                found = {tasks[task]: task.result() for task in done}
                reached |= {h: p for h, p in found.items() if p is not None}
        finally:
            for task in waiting:
                task.cancel()
        return reached

    async def _fetch(self, host, copies, position, written_after=0.0):
        try:
            while True:
                query = RecordsQuery(
                    position, written_after, copies.version, copies.members
                )
                batch = await self._runtime.peers.ask(
                    host, query, timeout=BATCH_TIMEOUT_SECONDS
                )
                self._apply_batch(batch)
                if batch.position <= position:
                    return position
                position = batch.position
        except (PeerError, CallError) as error:
            logger.info("could not fetch records from %s: %s", host, error)
            return None

    async def _repair(self):
        """Copy the records that other members received while this host was down."""
        others = [name for name in self._copies.members if name != self._runtime.host]
        since = self._newest_written_at - REPAIR_OVERLAP_SECONDS
        for host in others[: self._count_fences(self._copies)]:
            await self._fetch(host, CopySet(), 0, written_after=since)

    async def _adopt(self, copies):
        """Use a newer set from now on, also after a restart."""
        if copies.version < self._copies.version:
            return
        self._copies = copies
        self._append(copies)
        await self._log.sync()
        # A newer set may have been adopted during the sync.
        self._serving = self._copies.members.get(self._runtime.host) == self._disk_id

    async def _read_copies(self):
        stored = await self._runtime.store.get(COPIES_OBJECT)
        if stored is None:
            return None, CopySet()
        return stored, CopySet(**json.loads(stored.value))

    async def _write_copies(self, stored, copies):
        """Write the set unless another host has changed it since it was read."""
        value = json.dumps(asdict(copies)).encode()
        try:
            if stored is None:
                await self._runtime.store.create(COPIES_OBJECT, value)
            else:
                await self._runtime.store.update(
                    COPIES_OBJECT, value, expected_version=stored.version
                )
        except StoreConflict:
            logger.info("another host changed the set of copies first")
            raise

    def _count_fences(self, copies):
        """Return how many members must refuse older sets before one joins."""
        return fence_quorum(len(copies.members), tolerated=self._tolerated)

    def _is_gone(self, host):
        now = self._now()
        return self._runtime.gossip.membership.silent_for(host, now) > GONE_SECONDS

    async def _serve_reservation(self, message, context):
        self._check(message.set_version)
        position = self._append(message)
        self._state.apply(message, position, self._now())
        yield ReservationCounted(self._state.spendings(message.program))
        await self._log.sync()
        yield ReservationSynced()

    async def _serve_spending(self, message, context):
        self._check(message.set_version)
        return ReservationCounted(self._state.spendings(message.program))

    async def _serve_settlement(self, message, context):
        self._state.apply(message, self._append(message), self._now())
        await self._log.sync()
        return TurnSynced()

    async def _serve_commit(self, message, context):
        self._check(message.set_version)
        if self._state.find_turn(message.turn.turn) is None:
            position = self._append(message.turn)
            self._state.apply(message.turn, position, self._now())
        await self._log.sync()
        return TurnSynced()

    async def _serve_chain(self, message, context):
        self._check(message.set_version)
        chain = self._state.find_chain(message.turn)
        if chain is None:
            return Chain(absent=self._state.find_turn(message.turn) is None)
        text = b"".join(self._read_turn_text(turn.position) for turn in chain)
        last = chain[-1]
        return Chain(True, False, last.customer, last.upstream, last.tokens, text)

    async def _serve_records(self, message, context):
        if not self._serving:
            raise CallError("history_unavailable", "this copy is not a member")
        if message.set_version > self._copies.version:
            await self._adopt(CopySet(message.set_version, message.members))
        return self._read_batch(message.after, message.written_after)

    async def _serve_batch(self, message, context):
        self._apply_batch(message)
        await self._log.sync()
        return RecordsKept()

    def _check(self, set_version):
        """Refuse requests that use an older set, and all requests before joining."""
        if not self._serving:
            raise CallError("history_unavailable", "this copy is not a member")
        if set_version < self._copies.version:
            raise CallError(
                "copies_changed",
                f"the set of copies is at version {self._copies.version}",
            )

    def _append(self, record):
        self._newest_written_at = max(
            self._newest_written_at, getattr(record, "written_at", 0.0)
        )
        return self._log.append(msgpack.packb(self._codec.dump(record)))

    def _replay(self, payload, position):
        record = self._unpack(payload)
        if isinstance(record, CopySet):
            self._copies = record
            return
        self._newest_written_at = max(self._newest_written_at, record.written_at)
        self._state.apply(record, position, self._now())

    def _apply_batch(self, batch):
        for payload in batch.records:
            record = self._unpack(payload)
            if isinstance(record, CopySet):
                continue
            if self._state.apply(record, self._log.end, self._now()):
                self._append(record)

    def _read_batch(self, after, written_after):
        records = []
        size = 0
        position = after
        end = min(self._log.end, after + BATCH_RECORDS)
        while position < end and size < BATCH_BYTES:
            payload = self._log.read(position)
            position += 1
            if payload is None:
                continue
            record = self._unpack(payload)
            if isinstance(record, CopySet) or record.written_at < written_after:
                continue
            records.append(payload)
            size += len(payload)
        return RecordBatch(position, records)

    def _read_turn_text(self, position):
        turn = self._unpack(self._log.read(position))
        return turn.input + turn.output

    def _now(self):
        return self._runtime.clock.monotonic()

    def _unpack(self, payload):
        return self._codec.load(*msgpack.unpackb(payload))

    def _read_identity(self):
        """Return the identity of this disk, which is generated at its first use."""
        folder = Path(self._runtime.settings.data_folder)
        folder.mkdir(parents=True, exist_ok=True)
        path = folder / IDENTITY_FILE
        if path.exists() and path.read_text():
            return path.read_text()
        identity = secrets.token_hex(8)
        with open(path, "w") as file:
            file.write(identity)
            file.flush()
            os.fsync(file.fileno())
        sync_folder(folder)
        return identity
