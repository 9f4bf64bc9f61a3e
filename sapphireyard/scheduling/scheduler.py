"""Decides which waiting request gets the next slot of which upstream."""

import heapq

from sapphireyard.scheduling.admission import QueueAdmission
from sapphireyard.scheduling.backlog import Backlog
from sapphireyard.scheduling.capacity import MeanDuration, UpstreamSlots, UpstreamState
from sapphireyard.scheduling.fairness import FairShares
from sapphireyard.scheduling.order import OrderKey, ProgramOrder
from sapphireyard.scheduling.pace import UpstreamPaces
from sapphireyard.scheduling.placement import Placement
from sapphireyard.scheduling.previews import Preview, view_upstream
from sapphireyard.scheduling.queues import ANY, RequestQueues, WaitingRequest
from sapphireyard.scheduling.scheduling import (
    REASON_MOVED,
    Grant,
    Refuse,
    Release,
    SchedulerOptions,
)
from sapphireyard.scheduling.selection import Selection
from sapphireyard.scheduling.urgency import UrgencyOrder

ALL_CUSTOMERS = "*"
"""Name that stands for every customer when shares are not fair."""

MAX_GROUP_SIZE = 16
"""Maximum number of upstreams that one scheduler serves."""


class _Running:
    """A request that holds a slot."""

    __slots__ = ("request", "upstream", "cost", "started")

    def __init__(self, request, upstream, cost, started):
        self.request = request
        self.upstream = upstream
        self.cost = cost
        self.started = started


class Scheduler:
    """Slots, order and placement for one group of upstreams.

    Methods that may start requests take `now` in seconds and return a list of
    actions. Each submitted request ends in exactly one of `Grant`, `Refuse` or
    a cancel.

    Parameters
    ----------
    upstreams : sequence of UpstreamLimits
        The group, at most `max_upstreams`.
    options : SchedulerOptions, optional
        Switches and weights.
    max_upstreams : int, optional
        Maximum number of upstreams in the group.
    parts : KeptParts, optional
        Parts of prompts that upstreams keep, shared by the schedulers of a host.
    """

    def __init__(
        self, upstreams, *, options=None, max_upstreams=MAX_GROUP_SIZE, parts=None
    ):
        self._max_upstreams = max_upstreams
        self._options = options or SchedulerOptions()
        self._shares = FairShares()
        if self._options.urgency:
            self._order = UrgencyOrder()
        else:
            self._order = ProgramOrder(first_level=self._options.first_level)
        self._admission = QueueAdmission()
        self._paces = UpstreamPaces()
        self._placement = Placement(
            keep_seconds=self._options.keep_seconds, parts=parts
        )
        self._queues = RequestQueues()
        self._slots = {}
        self._waiting = {}
        self._running = {}
        self._held = {}
        self._deadlines = []
        self._output_cost = 1.0
        self._duration = MeanDuration()
        self._backlog = Backlog(self._slots, self._shares, self._duration)
        self._selection = Selection(
            self._slots,
            self._queues,
            self._placement,
            self._duration,
            self._shares,
            self._backlog,
            self._paces,
            self._options,
        )
        for limits in upstreams:
            self.add_upstream(limits)

    @property
    def waiting(self):
        """int: Number of requests in the queue."""
        return len(self._waiting)

    @property
    def running(self):
        """int: Number of requests that hold a slot."""
        return len(self._running)

    @property
    def used(self):
        """int: Slots in use, also by other schedulers, and requests in the queue."""
        running = sum(
            len(slots.running) + slots.foreign_running for slots in self._slots.values()
        )
        return running + self.waiting

    @property
    def slots(self):
        """int: Slots of the upstreams that may get requests."""
        return sum(slots.batch_limit for slots in self._slots.values() if slots.is_up)

    def is_up(self, name):
        """Return whether an upstream may get requests."""
        return self._slots[name].is_up

    def held_by(self, holder):
        """Return the ids of the requests for which a host holds a slot."""
        return frozenset(self._held.get(holder, ()))

    def set_options(self, options):
        """Replace the options; waiting requests keep their sort keys."""
        self._options = options
        self._selection.options = options

    def set_weight(self, customer, weight):
        """Set the weight of a customer."""
        self._backlog.set_weight(customer, weight)

    def add_upstream(self, limits):
        """Add an upstream to the group, or change its limits."""
        self._selection.unblock()
        if limits.name in self._slots:
            self._slots[limits.name].limits = limits
            self._placement.resize(limits)
            return
        if len(self._slots) >= self._max_upstreams:
            raise ValueError(f"a group has at most {self._max_upstreams} upstreams")
        self._slots[limits.name] = UpstreamSlots(limits)
        self._placement.add(limits)
        self._output_cost = limits.output_cost

    @property
    def upstreams(self):
        """dict of str to UpstreamLimits: The group."""
        return {name: slots.limits for name, slots in self._slots.items()}

    def remove_upstream(self, name, now):
        """Remove an upstream from the group; its running requests continue."""
        actions = self.set_state(name, UpstreamState.DOWN, now)
        self._placement.remove(name)
        self._paces.forget(name)
        del self._slots[name]
        return actions

    def submit(self, request, now):
        """Queue a request.

        Raises
        ------
        ValueError
            The request id is waiting or running already.
        """
        if request.request_id in self._waiting or request.request_id in self._running:
            raise ValueError(
                f"request {request.request_id} is waiting or running already"
            )
        refusal = self._judge(request, now)
        if refusal is not None:
            return [refusal]
        self._enqueue(request, now)
        return self._decide(now)

    def preview(self, request, now):
        """Return the `Preview` of a request: what `submit` would do, without doing it.

        A request that could start waits nevertheless if others wait, whose order
        `submit` would decide.
        """
        action = self._judge(request, now)
        if action is None and not self._waiting:
            action = self._preview_grant(request, now)
        views = tuple(
            view_upstream(
                slots, request, kept_tokens=self._placement.cached(name, request)
            )
            for name, slots in self._slots.items()
        )
        wait = self.expected_wait(request.customer)
        return Preview(action, len(self._waiting), wait, views)

    def cancel(self, request_id, now):
        """Remove a waiting request, or release its slot if it has one."""
        waiting = self._waiting.get(request_id)
        if waiting is None:
            return self.finish(request_id, 0, None, now)
        self._dequeue(waiting)
        return self._decide(now)

    def finish(self, request_id, output_tokens, cached_tokens, now):
        """Release the slot of a request that ended.

        Parameters
        ----------
        request_id : str
            A request with a grant; others are ignored.
        output_tokens : int
            Tokens generated; 0 when the request failed.
        cached_tokens : int or None
            Prefix tokens found in the upstream's cache, None if not reported.
        now : float
            Seconds.
        """
        running = self._running.pop(request_id, None)
        if running is None:
            return self._decide(now)
        request = running.request
        self._remove_from_held(request)
        self._selection.unblock(running.upstream)
        slots = self._slots.get(running.upstream)
        if slots:
            slots.release(request_id)
            self._note_pace(running, slots.limits, output_tokens, now)
        self._correct_cost(running, output_tokens, cached_tokens, now)
        if slots and output_tokens and slots.limits.kv_tokens:
            tokens = request.prefix_tokens + request.new_tokens + output_tokens
            record = self._placement.record(running.upstream)
            record.keep(
                request.program,
                tokens,
                now,
                customer=self._share_key(request.customer),
                reserved=slots.reserved,
            )
        return self._decide(now)

    def adopt(self, request, upstream, now):
        """Count a slot that was granted by another scheduler."""
        if request.request_id in self._running or upstream not in self._slots:
            return
        waiting = self._waiting.get(request.request_id)
        if waiting:
            self._dequeue(waiting)
        cached = self._placement.cached(upstream, request)
        self._start(request, upstream, self._cost(request, cached), now)
        self._placement.note_sent(upstream, request, now)

    def release_holder(self, holder, now):
        """Refuse the waiting requests of a dead host and release its slots."""
        waiting = [w for w in self._waiting.values() if w.request.holder == holder]
        for entry in waiting:
            self._dequeue(entry)
        actions = [Refuse(entry.request, 0.0) for entry in waiting]
        for request_id in sorted(self._held.get(holder, ())):
            actions += self.finish(request_id, 0, None, now)
        return actions

    def end_program(self, program, now):
        """Drop an ended program and release its memory on the upstreams."""
        self._order.end(program)
        names = self._placement.end(program)
        for name in names:
            self._selection.unblock(name)
        return [Release(name, program) for name in names] + self._decide(now)

    def state(self, name):
        """Return the `UpstreamState` of an upstream."""
        return self._slots[name].state

    def set_state(self, name, state, now):
        """Set the state of an upstream."""
        slots = self._slots[name]
        slots.state = state
        if state is UpstreamState.DOWN:
            self._placement.record(name).clear()
        if state is not UpstreamState.UP:
            self._clear_affinity(name)
        self._selection.unblock()
        return self._decide(now)

    def set_bound(self, bound, now):
        """Bound the slots of each upstream below its batch size; None for no bound."""
        for slots in self._slots.values():
            slots.bound = bound
        self._selection.unblock()
        return self._decide(now)

    def grants(self, name):
        """Return how many requests an upstream is still granted; None for no limit."""
        return self._slots[name].grants

    def set_grants(self, name, grants, now):
        """Limit the requests that an upstream is still granted; None for no limit.

        Requests that prefer an upstream without grants may go to any other.
        """
        self._slots[name].grants = grants
        self._selection.unblock()
        return self._decide(now)

    def report_load(self, name, running, reserved, own_running, own_reserved, now):
        """Apply a load report; the own counts are those at the time of the report."""
        self._slots[name].report(running, reserved, own_running, own_reserved)
        self._selection.unblock(name)
        return self._decide(now)

    def learn_prefix(self, name, program, tokens, now):
        """Record that an upstream holds a prefix left by another host."""
        if name not in self._slots:
            return
        record = self._placement.record(name)
        if not record.tokens(program):
            record.keep(program, tokens, now)

    def cache_event(self, name, program, tokens, observed_at):
        """Apply a cache event: upstream `name` holds `tokens` of a program."""
        self._placement.record(name).correct(program, tokens, observed_at)

    def tick(self, now):
        """Refuse requests whose deadline has passed, and start what can start."""
        idle = [name for name, slots in self._slots.items() if not slots.running]
        self._paces.age(idle, now)
        actions = []
        while self._deadlines and self._deadlines[0][0] <= now:
            _, request_id = heapq.heappop(self._deadlines)
            waiting = self._waiting.get(request_id)
            if waiting is None:
                continue
            self._dequeue(waiting)
            wait = self.expected_wait(waiting.customer)
            actions.append(Refuse(waiting.request, max(wait, self._duration.seconds)))
        self._selection.unblock()
        return actions + self._decide(now)

    def next_tick(self):
        """Return the earliest deadline of a waiting request, or None."""
        while self._deadlines and self._deadlines[0][1] not in self._waiting:
            heapq.heappop(self._deadlines)
        return self._deadlines[0][0] if self._deadlines else None

    def expected_wait(self, customer):
        """Return the expected wait of a new request of a customer in seconds."""
        return self._backlog.expected_wait(self._share_key(customer))

    def _judge(self, request, now):
        """Return the `Refuse` of a request that cannot start in time, or None."""
        if not self._options.refuse:
            return None
        if self._options.urgency:
            return self._judge_by_order(request, now)
        late = now + self.expected_wait(request.customer) - request.deadline
        if not request.deadline or late <= 0:
            return None
        return Refuse(request, max(late, self._duration.seconds))

    def _judge_by_order(self, request, now):
        """Return the `Refuse` of a request by what goes before it, or None."""
        key = self._order.key(request, now)
        ahead = sum(waiting.key < key for waiting in self._waiting.values())
        delay = self._admission.find_delay(
            request,
            ahead=ahead,
            slots=self.slots,
            seconds=self._duration.seconds,
            now=now,
            free=sum(slots.free for slots in self._slots.values()),
            engines=any(slots.limits.kv_tokens for slots in self._slots.values()),
        )
        return None if delay is None else Refuse(request, delay, ahead)

    def _preview_grant(self, request, now):
        """Return the `Grant` of a request if it were the only one, or None."""
        waiting = self._build_waiting(request, OrderKey(0, now, 0), now)
        choice = self._selection.preview(waiting, now)
        if choice is None:
            return None
        return self._build_grant(request, choice.upstream, choice.reason)

    def _share_key(self, customer):
        return customer if self._options.fair else ALL_CUSTOMERS

    def _cost(self, request, cached):
        prompt = request.prefix_tokens + request.new_tokens - cached
        return prompt + request.output_tokens * self._output_cost

    def _build_waiting(self, request, key, now):
        return WaitingRequest(
            request=request,
            customer=self._share_key(request.customer),
            affinity=self._selection.affinity(request),
            key=key,
            submitted=now,
        )

    def _enqueue(self, request, now):
        customer = self._share_key(request.customer)
        if not self._queues.has_customer(customer):
            self._shares.activate(customer)
        waiting = self._build_waiting(request, self._order.key(request, now), now)
        self._waiting[request.request_id] = waiting
        self._backlog.add(customer)
        self._queues.add(waiting, self._shares.tag(customer))
        self._selection.unblock(waiting.affinity)
        if request.deadline:
            heapq.heappush(self._deadlines, (request.deadline, request.request_id))

    def _dequeue(self, waiting):
        del self._waiting[waiting.request.request_id]
        self._queues.remove(waiting)
        self._selection.unblock(waiting.affinity)
        self._backlog.remove(waiting.customer)

    def _decide(self, now):
        actions = []
        while self._waiting:
            choice = self._selection.next(now)
            if choice is None:
                break
            actions += self._grant(choice, now)
        return actions

    def _grant(self, choice, now):
        request = choice.waiting.request
        tag = self._queues.least_tag
        self._shares.advance(tag)
        self._dequeue(choice.waiting)
        waited = now - choice.waiting.submitted
        grant = self._build_grant(request, choice.upstream, choice.reason, waited)
        cost = self._cost(request, grant.cached_tokens)
        self._start(request, choice.upstream, cost, now)
        self._placement.note_sent(choice.upstream, request, now)
        actions = [grant]
        if choice.reason == REASON_MOVED:
            actions += self._release_moved_prefix(choice.waiting)
        return actions

    def _build_grant(self, request, upstream, reason, waited=0.0):
        """Return the `Grant` of a request that has not been sent yet."""
        among = tuple(name for name, slots in self._slots.items() if slots.is_up)
        cached = self._placement.cached(upstream, request)
        keepers = self._placement.find_keepers(request)
        kept = [tokens for name, tokens in keepers.items() if name in among]
        return Grant(
            request=request,
            upstream=upstream,
            reason=reason,
            among=among,
            cached_tokens=cached,
            waited=waited,
            kept_tokens=max([cached, *kept]),
        )

    def _release_moved_prefix(self, waiting):
        """Release the prefix that a moved program leaves on its former upstream."""
        program = waiting.request.program
        if waiting.affinity not in self._slots:
            return []
        if not self._placement.record(waiting.affinity).drop(program):
            return []
        return [Release(waiting.affinity, program)]

    def _start(self, request, upstream, cost, now):
        slots = self._slots[upstream]
        customer = self._share_key(request.customer)
        slots.acquire(request.request_id, request.total_tokens, customer=customer)
        record = self._placement.record(upstream)
        record.drop(request.program)
        record.trim(slots.reserved)
        self._running[request.request_id] = _Running(request, upstream, cost, now)
        self._held.setdefault(request.holder, set()).add(request.request_id)
        self._add_service(request, cost, now)

    def _add_service(self, request, cost, now):
        """Add service, which may be negative, to the shares and the order."""
        customer = self._share_key(request.customer)
        tag = self._shares.charge(customer, cost)
        self._queues.set_tag(customer, tag)
        self._order.add_service(request.root, cost, now)

    def _correct_cost(self, running, output_tokens, cached_tokens, now):
        """Replace the expected cost of an ended request by the actual one."""
        request = running.request
        self._duration.add(now - running.started)
        prompt = running.cost - request.output_tokens * self._output_cost
        if cached_tokens is not None:
            prompt = request.prefix_tokens + request.new_tokens - cached_tokens
        cost = prompt + output_tokens * self._output_cost
        self._add_service(request, cost - running.cost, now)

    def _note_pace(self, running, limits, output_tokens, now):
        """Record how long an engine took for a request that succeeded."""
        if not limits.kv_tokens or not output_tokens:
            return
        request = running.request
        prompt = running.cost - request.output_tokens * self._output_cost
        expected = prompt / limits.prefill_rate
        expected += request.expected_output * limits.decode_seconds
        self._paces.note(running.upstream, now - running.started, expected)

    def _remove_from_held(self, request):
        held = self._held[request.holder]
        held.discard(request.request_id)
        if not held:
            del self._held[request.holder]

    def _clear_affinity(self, name):
        """Let requests with an affinity to an upstream go to any upstream."""
        for waiting in self._queues.with_affinity(name):
            self._queues.set_affinity(waiting, ANY)
