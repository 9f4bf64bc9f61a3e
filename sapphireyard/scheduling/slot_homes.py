"""The home of a group of upstreams: grants slots to holders by its scheduler."""

import asyncio
import logging

from sapphireyard.exceptions import CallError
from sapphireyard.scheduling.capacity import UpstreamLimits, UpstreamState
from sapphireyard.scheduling.scheduler import Scheduler
from sapphireyard.scheduling.scheduling import (
    Grant,
    Refuse,
    Release,
    SlotRequest,
    copy_fields,
)
from sapphireyard.scheduling.weighting import choose_options

logger = logging.getLogger(__name__)

LEASE_SECONDS = 5.0
"""Time without a message from a holder after which its slots are taken back."""

LEARNING_SECONDS = 2.5
"""Time for which a new home collects heartbeats before it relies on its counts.

Until then it may not know all slots that an earlier home granted.
"""

LEARNING_DIVISOR = 4
"""Divisor of the batch size that bounds the granted slots while learning."""

LEAVING = "leaving"
"""Configured state of an upstream that gets no new requests."""

MISSED_HEARTBEATS = 2
"""Consecutive heartbeats without a slot after which it is taken back."""


def make_limits(pool, upstream, *, service=False):
    """Return the `UpstreamLimits` of one upstream of a pool.

    Parameters
    ----------
    pool : PoolRow
        The pool as configured.
    upstream : UpstreamRow
        One of its upstreams.
    service : bool, optional
        Whether the pool serves plain services, which hold no KV.
    """
    if service:
        return UpstreamLimits(upstream.name, pool.service_concurrency)
    return UpstreamLimits(
        name=upstream.name,
        batch_size=pool.batch_size,
        kv_tokens=pool.kv_tokens,
        prefill_rate=pool.prefill_rate,
        decode_seconds=pool.decode_seconds,
    )


class _HolderState:
    """The home's state of one holder.

    Attributes
    ----------
    last_heard_at : float
        Time of the last message from the holder.
    missed : dict of str to int
        Consecutive heartbeats without a slot, by the request id of the slot.
    """

    def __init__(self, now):
        self.last_heard_at = now
        self.missed = {}


class GroupHome:
    """Grants the slots of one group to the hosts that ask.

    Parameters
    ----------
    pool : PoolRow
        The pool as configured.
    group : Group
        Its upstreams.
    clock : Clock
        Source of time.
    service : bool, optional
        Whether the pool serves plain services.
    on_release : callable, optional
        Called with the address of an upstream and the program whose memory it
        may free.
    """

    def __init__(self, pool, group, clock, *, service=False, on_release=None):
        self.group = group
        self._clock = clock
        self._service = service
        self._on_release = on_release or (lambda address, program: None)
        self._addresses = {}
        self._waiters = {}
        self._holders = {}
        self._leaving = set()
        self._scheduler = Scheduler(())
        self._learning_until = clock.monotonic() + LEARNING_SECONDS
        self.configure(pool, group, {})
        limits = self._scheduler.upstreams.values()
        batch_size = max((each.batch_size for each in limits), default=1)
        bound = max(1, batch_size // LEARNING_DIVISOR)
        self._apply(self._scheduler.set_bound(bound, self._now))

    @property
    def scheduler(self):
        """Scheduler: The scheduler of this home."""
        return self._scheduler

    @property
    def is_idle(self):
        """bool: Whether no request waits or runs."""
        return not self._scheduler.waiting and not self._scheduler.running

    @property
    def _now(self):
        return self._clock.monotonic()

    def configure(self, pool, group, customers):
        """Apply the pool's newest configuration and the customers' weights."""
        self.group = group
        self._addresses = {each.name: each.address for each in group.upstreams}
        self._scheduler.set_options(choose_options(pool.latency_weight))
        for name in set(self._scheduler.upstreams) - set(self._addresses):
            self._leaving.discard(name)
            self._apply(self._scheduler.remove_upstream(name, self._now))
        for upstream in group.upstreams:
            limits = make_limits(pool, upstream, service=self._service)
            self._scheduler.add_upstream(limits)
            self._set_configured_state(upstream)
        for name, customer in customers.items():
            self._scheduler.set_weight(name, customer.weight)
        self._apply(self._scheduler.tick(self._now))

    def _set_configured_state(self, upstream):
        leaving = upstream.state == LEAVING
        if leaving == (upstream.name in self._leaving):
            return
        self._leaving ^= {upstream.name}
        state = UpstreamState.LEAVING if leaving else UpstreamState.UP
        self.set_state(upstream.name, state)

    def set_state(self, name, state):
        """Set the state of an upstream of the group.

        An upstream that is configured as leaving stays leaving instead of up.
        """
        if state is UpstreamState.UP and name in self._leaving:
            state = UpstreamState.LEAVING
        self._apply(self._scheduler.set_state(name, state, self._now))

    async def ask(self, request):
        """Return the `Grant` for a request once it has a slot.

        Raises
        ------
        CallError
            ``overloaded``: there is no slot before the request's deadline.
        """
        self._get_or_create_holder(request.holder).last_heard_at = self._now
        waiter = asyncio.get_running_loop().create_future()
        self._waiters[request.request_id] = waiter
        try:
            self._apply(self._scheduler.submit(request, self._now))
            return await waiter
        except asyncio.CancelledError:
            self._waiters.pop(request.request_id, None)
            self._apply(self._scheduler.cancel(request.request_id, self._now))
            raise
        finally:
            self._waiters.pop(request.request_id, None)

    def return_slot(self, message):
        """Release the slot of a `SlotReturn`, or cancel the wait for one."""
        waiter = self._waiters.get(message.request_id)
        if waiter is not None:
            waiter.cancel()
            return
        cached = None if message.cached_tokens < 0 else message.cached_tokens
        actions = self._scheduler.finish(
            message.request_id, message.output_tokens, cached, self._now
        )
        self._apply(actions)

    def renew(self, holder, message):
        """Apply a `SlotHeartbeat`; return the ids of slots not known here."""
        state = self._get_or_create_holder(holder)
        state.last_heard_at = self._now
        for slot in message.details:
            self._adopt(holder, slot)
        held = set(message.held)
        recorded = self._scheduler.held_by(holder)
        for request_id in sorted(recorded - held):
            self._count_missed(state, request_id)
        state.missed = {key: n for key, n in state.missed.items() if key not in held}
        return sorted(held - recorded)

    def end_program(self, program):
        """Drop an ended program."""
        self._apply(self._scheduler.end_program(program, self._now))

    def tick(self, hosts):
        """Refuse late requests, and take back the slots of silent or removed holders.

        Parameters
        ----------
        hosts : collection of str
            Current members.
        """
        now = self._now
        if self._learning_until and now >= self._learning_until:
            self._learning_until = 0.0
            self._apply(self._scheduler.set_bound(None, now))
        for name, holder in list(self._holders.items()):
            if name in hosts and now - holder.last_heard_at < LEASE_SECONDS:
                continue
            if not self._scheduler.held_by(name):
                del self._holders[name]
                continue
            logger.warning("slots of silent holder taken back", extra={"holder": name})
            del self._holders[name]
            self._apply(self._scheduler.release_holder(name, now))
        due = self._scheduler.next_tick()
        if due is not None and due <= now:
            self._apply(self._scheduler.tick(now))

    def close(self, error):
        """Fail all waiting requests: this host is no longer the home."""
        for waiter in list(self._waiters.values()):
            if not waiter.done():
                waiter.set_exception(error)

    def _get_or_create_holder(self, name):
        return self._holders.setdefault(name, _HolderState(self._now))

    def _count_missed(self, holder, request_id):
        count = holder.missed.get(request_id, 0) + 1
        holder.missed[request_id] = count
        if count < MISSED_HEARTBEATS or request_id in self._waiters:
            return
        del holder.missed[request_id]
        self._apply(self._scheduler.cancel(request_id, self._now))

    def _adopt(self, holder, slot):
        request = SlotRequest(
            **copy_fields(slot),
            request_id=slot.request_id,
            pool=self.group.pool,
            holder=holder,
        )
        self._scheduler.adopt(request, slot.upstream, self._now)

    def _apply(self, actions):
        pending = list(actions)
        while pending:
            action = pending.pop(0)
            if isinstance(action, Grant):
                pending += self._deliver(action)
            elif isinstance(action, Refuse):
                self._refuse(action)
            elif isinstance(action, Release):
                self._on_release(self._addresses.get(action.upstream), action.program)

    def _deliver(self, grant):
        request = grant.request
        waiter = self._waiters.get(request.request_id)
        if waiter is None or waiter.done():
            return self._scheduler.cancel(request.request_id, self._now)
        self._get_or_create_holder(request.holder).last_heard_at = self._now
        waiter.set_result(grant)
        log_placement(grant)
        return []

    def _refuse(self, refuse):
        waiter = self._waiters.get(refuse.request.request_id)
        if waiter is None or waiter.done():
            return
        waiter.set_exception(
            CallError(
                "overloaded",
                "no upstream will be free before the deadline",
                retry_after=refuse.retry_after,
            )
        )


def log_placement(grant):
    """Log a placement decision."""
    request = grant.request
    logger.info(
        "slot granted",
        extra={
            "decision": "placement",
            "request_id": request.request_id,
            "program": request.program,
            "root": request.root,
            "customer": request.customer,
            "pool": request.pool,
            "upstream": grant.upstream,
            "among": list(grant.among),
            "reason": grant.reason,
            "cached_tokens": grant.cached_tokens,
            "waited_seconds": round(grant.waited, 4),
            "holder": request.holder,
        },
    )
