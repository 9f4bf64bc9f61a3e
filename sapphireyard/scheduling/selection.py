"""Chooses the next request and its upstream among the heads of the queues."""

from dataclasses import dataclass, field
from functools import partial
from itertools import islice

from sapphireyard.limits.homes import score_host
from sapphireyard.scheduling.pace import MUCH_SLOWER
from sapphireyard.scheduling.queues import ANY, WaitingRequest
from sapphireyard.scheduling.scheduling import (
    REASON_CACHED,
    REASON_KEPT,
    REASON_LEAST_LOADED,
    REASON_MOVED,
)

LOAD_DIGITS = 1
"""Digits by which paces differ; hosts break ties differently."""
LOOKAHEAD_CUSTOMERS = 4
"""Customers considered when the requests of the least served cannot start."""


@dataclass(frozen=True)
class Choice:
    """The next request, the upstream for it and the reason for that upstream."""

    waiting: WaitingRequest
    upstream: str
    reason: str


@dataclass(order=True)
class _Candidate:
    rank: tuple
    waiting: WaitingRequest = field(compare=False)


class Selection:
    """The rule that assigns a free slot to a waiting request.

    For each upstream with a free slot, the least loaded first, the candidates
    are the heads of the requests whose prefix it holds, of those without a
    prefix, and of those whose holder is full and for which a move pays off.
    The request of the customer with the least service goes first, then aged
    requests, then the order of programs decides.

    Parameters
    ----------
    slots : dict of str to UpstreamSlots
        The group.
    queues : RequestQueues
        Waiting requests.
    placement : Placement
        Prefixes held by the upstreams.
    duration : MeanDuration
        Mean time for which a slot is held.
    shares : FairShares
        Weights of customers.
    backlog : Backlog
        Expected waits of customers.
    paces : UpstreamPaces
        How fast the upstreams run requests.
    options : SchedulerOptions
        Switches and weights.
    """

    def __init__(
        self, slots, queues, placement, duration, shares, backlog, paces, options
    ):
        self._slots = slots
        self._queues = queues
        self._placement = placement
        self._duration = duration
        self._shares = shares
        self._backlog = backlog
        self._paces = paces
        self._blocked = set()
        self._user_weights = None
        self.options = options

    def unblock(self, name=ANY):
        """Consider an upstream again, or all of them for `ANY`.

        An upstream on which no request could start is skipped until its own
        slots or its candidates change.
        """
        if name == ANY:
            self._blocked.clear()
        else:
            self._blocked.discard(name)

    def affinity(self, request):
        """Return the upstream that a request prefers, or `ANY`."""
        if not self.options.cache_affinity:
            return ANY
        names = [
            name
            for name, slots in self._slots.items()
            if slots.is_up
            and slots.limits.kv_tokens
            and name not in request.excluded
            and request.allows(slots.limits.region)
        ]
        return self._placement.holder(request.program, names) or ANY

    def next(self, now):
        """Return the next `Choice`, or None when nothing can start."""
        free = [
            slots
            for name, slots in self._slots.items()
            if name not in self._blocked and slots.has_slot()
        ]
        free.sort(key=self._load_key)
        for slots in free:
            choice = self._choose_for(slots, now)
            if choice:
                return self._prefer_keeper(choice, free, now)
            self._blocked.add(slots.limits.name)
        return None

    def preview(self, waiting, now):
        """Return the `Choice` for a request if it were next, or None; changes nothing.

        Parameters
        ----------
        waiting : WaitingRequest
            The request, which is not in the queues.
        now : float
            Seconds.
        """
        free = [slots for slots in self._slots.values() if slots.has_slot()]
        free.sort(key=self._load_key)
        for slots in free:
            self._user_weights = None
            if not self._may_take(waiting, slots, False, now):
                continue
            if slots.fits(waiting.request.total_tokens):
                reason = self._reason(waiting, slots)
                choice = Choice(waiting, slots.limits.name, reason)
                return self._prefer_keeper(choice, free, now)
        return None

    def _prefer_keeper(self, choice, free, now):
        """Return a choice on the upstream that keeps enough of the prompt, if any."""
        waiting = choice.waiting
        if choice.reason == REASON_CACHED or not waiting.request.prompt_parts:
            return choice
        aged = self._is_aged(waiting, now)
        names = {choice.upstream, *self._placement.find_keepers(waiting.request)}
        candidates = {
            slots.limits: (
                len(slots.running) + slots.foreign_running,
                self._paces.ratio(slots.limits.name),
            )
            for slots in free
            if slots.limits.name in names
            and self._is_allowed(waiting, slots)
            and self._may_leave_holder(waiting, slots)
            and self._may_start(waiting, slots, aged, now)
            and slots.fits(waiting.request.total_tokens)
        }
        name = self._placement.choose_keeper(waiting.request, candidates)
        if name == choice.upstream:
            return choice
        reason = REASON_MOVED if choice.reason == REASON_MOVED else REASON_KEPT
        return Choice(waiting, name, reason)

    def _load_key(self, slots):
        """Return the sort key of an upstream with a free slot.

        Hosts that choose independently break ties differently, so that they do
        not all send to the same upstream between two load reports.
        """
        name = slots.limits.name
        load = slots.fill
        if self.options.urgency and slots.limits.kv_tokens:
            running = len(slots.running) + slots.foreign_running
            load = round(self._paces.score(name, running), LOAD_DIGITS)
        if not self.options.tie_seed:
            return load, 0, name
        return load, score_host(self.options.tie_seed, name), name

    def _choose_for(self, slots, now):
        self._placement.record(slots.limits.name).age(now)
        self._user_weights = None
        best = None
        for affinity in self._candidate_affinities(slots.limits.name):
            found = self._first_candidate(affinity, slots, now)
            if found and (best is None or found < best):
                best = found
        if best is None:
            return None
        waiting = best.waiting
        if not slots.fits(waiting.request.total_tokens):
            # An aged request that does not fit yet: it waits for this upstream,
            # which starts nothing that ranks behind it until its memory is free.
            self._queues.set_affinity(waiting, slots.limits.name)
            return None
        reason = self._reason(waiting, slots)
        return Choice(waiting, slots.limits.name, reason)

    def _first_candidate(self, affinity, slots, now):
        """Return the first head with this affinity that may start, or None."""
        heads = self._queues.heads(affinity, partial(self._is_aged, now=now))
        for waiting in islice(heads, LOOKAHEAD_CUSTOMERS):
            aged = self._is_aged(waiting, now)
            if self._may_take(waiting, slots, aged, now):
                return _Candidate(self._rank(waiting, aged), waiting)
        return None

    def _may_take(self, waiting, slots, aged, now):
        """Return whether an upstream may take a request when its turn comes."""
        if not self._is_allowed(waiting, slots):
            return False
        if not self._may_leave_holder(waiting, slots):
            return False
        return self._may_start(waiting, slots, aged, now)

    def _is_aged(self, waiting, now):
        if now - waiting.submitted < self.options.aging_seconds:
            return False
        wait = self._backlog.expected_wait(waiting.customer)
        return wait <= self.options.aging_backlog

    def _candidate_affinities(self, name):
        return [name, ANY] + [a for a in self._queues.affinities() if a and a != name]

    def _is_allowed(self, waiting, slots):
        excluded = waiting.request.excluded
        if not waiting.request.allows(slots.limits.region):
            return False
        if slots.limits.name not in excluded:
            return True
        up = (
            s.limits.name
            for s in self._slots.values()
            if s.is_up and waiting.request.allows(s.limits.region)
        )
        return all(name in excluded for name in up)

    def _may_start(self, waiting, slots, aged, now):
        if waiting.affinity == ANY and self._must_hold(waiting, slots, now):
            return False
        if aged and waiting.affinity in (slots.limits.name, ANY):
            return True
        return slots.fits(waiting.request.total_tokens)

    def _must_hold(self, waiting, slots, now):
        """Return whether a request has to wait rather than evict fresh prefixes."""
        kv_tokens = slots.limits.kv_tokens
        if not kv_tokens or not self.options.hold_new:
            return False
        if slots.fill < self.options.hold_fill:
            return False
        if now - waiting.submitted >= self.options.hold_seconds:
            return False
        tokens = waiting.request.total_tokens
        record = self._placement.record(slots.limits.name)
        if record.fresh_total + slots.reserved + tokens <= kv_tokens:
            return False
        customer = waiting.customer
        used = record.fresh_of(customer) + slots.by_customer[customer]
        weights = self._sum_user_weights(record, slots)
        weight = self._shares.weight(customer)
        if not used:
            weights += weight
        return used + tokens > kv_tokens * weight / weights

    def _sum_user_weights(self, record, slots):
        """Return the sum of the weights of customers that use an upstream's memory."""
        if self._user_weights is None or self._user_weights[0] is not slots:
            users = {*record.customers(), *slots.by_customer}
            self._user_weights = (slots, sum(map(self._shares.weight, users)))
        return self._user_weights[1]

    def _may_leave_holder(self, waiting, slots):
        """Return whether a request may leave the upstream that holds its prefix.

        It may when the expected time saved is above the prefill time of the
        lost prefix, which also delays each request that runs on the new
        upstream. Time is saved in the queue of an upstream that is full, and by
        leaving one that is much slower.
        """
        if waiting.affinity in (slots.limits.name, ANY):
            return True
        holder = self._slots.get(waiting.affinity)
        if holder is None or holder.grants == 0:
            return True
        if not self.options.move:
            return False
        name = holder.limits.name
        seconds = self._placement.move_seconds(waiting.request, slots.limits, name)
        seconds *= 1 + len(slots.running)
        if self._find_pace_gain(waiting.request, holder, slots) > seconds:
            return True
        if holder.fits(waiting.request.total_tokens):
            return False
        queued = self._queues.length(waiting.affinity)
        saved = queued * self._duration.seconds / holder.limits.batch_size
        return saved > seconds

    def _find_pace_gain(self, request, holder, slots):
        """Return the seconds by which an answer ends sooner than on a slow holder."""
        slow = self._paces.ratio(holder.limits.name)
        fast = self._paces.ratio(slots.limits.name)
        if slow < MUCH_SLOWER * fast:
            return 0.0
        return (slow - fast) * request.expected_output * slots.limits.decode_seconds

    def _rank(self, waiting, aged):
        share = self._queues.tag(waiting.customer)
        if aged:
            return (share, 0, waiting.submitted, 0.0, waiting.key.number)
        return (share, 1, *waiting.key)

    def _reason(self, waiting, slots):
        if waiting.affinity == slots.limits.name:
            return REASON_CACHED
        return REASON_LEAST_LOADED if waiting.affinity == ANY else REASON_MOVED
