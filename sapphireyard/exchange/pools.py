"""The upstreams of each service, and the choice of one for each request.

Every entry host schedules its own requests. It counts its own requests in flight
and adds the counts that the other hosts reported in their last heartbeats.
"""

import asyncio
import itertools
import logging
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace

import mode

from sapphireyard.exceptions import CallError, PeerError
from sapphireyard.exchange.grants import (
    MAX_RETRY_SECONDS,
    MIN_RETRY_SECONDS,
    RateGrants,
)
from sapphireyard.exchange.loads import FleetLoads, remove_granted
from sapphireyard.exchange.placements import record_placement, record_refusal
from sapphireyard.exchange.shared_queues import SharedQueues
from sapphireyard.fleet.evacuations import Evacuations
from sapphireyard.fleet.membership import ENTRY
from sapphireyard.fleet.relays import list_relays
from sapphireyard.scheduling.capacity import UpstreamLimits, UpstreamState
from sapphireyard.scheduling.parts import KeptParts
from sapphireyard.scheduling.queue_home import is_busy
from sapphireyard.scheduling.scheduler import Scheduler
from sapphireyard.scheduling.scheduling import (
    Grant,
    Refuse,
    SchedulerOptions,
    SlotRequest,
)
from sapphireyard.tasks import lasting_task
from sapphireyard.upstreams.cold import ColdUpstreams
from sapphireyard.upstreams.evidence import FleetEvidence
from sapphireyard.upstreams.links import PROBE_SECONDS, Links
from sapphireyard.upstreams.outliers import OutlierDetector
from sapphireyard.upstreams.rates import UpstreamRates

logger = logging.getLogger(__name__)

TICK_SECONDS = 0.1
"""Interval of the checks for deadlines, silent hosts and failing upstreams."""
PREFILL_RATE = 200_000.0
"""Prompt tokens per second: the order of magnitude of the deployments' engines."""
DECODE_SECONDS = 0.0025
"""One decode step of the deployments' engines."""
MAX_UPSTREAMS = 6000
"""Above the 5,200 upstreams of the target deployment."""
FAILURES_TO_EJECT = 2
"""Consecutive failures after which an upstream is ejected."""
NO_UPSTREAM_RETRY_SECONDS = 0.5
LEAVING_MEMORY_SECONDS = 3600.0
"""Time for which an upstream that has said that it is leaving, and is not listed any
more, is remembered: longer than any takes to leave."""
UNREACHABLE = "no host reaches an upstream", PROBE_SECONDS
"""Why requests are refused, and their Retry-After: upstreams are probed again."""
NO_UPSTREAM = "no upstream is listed", NO_UPSTREAM_RETRY_SECONDS
OUTSIDE_REGIONS = "no upstream in the allowed regions is usable", MAX_RETRY_SECONDS
EVACUATED = "operators have evacuated all upstreams", MAX_RETRY_SECONDS


@dataclass
class _Waiter:
    """A queued request and its future."""

    request: SlotRequest
    future: asyncio.Future


class _Pool:
    """One service: its scheduler and its upstreams."""

    def __init__(self, host, parts, rates, *, execute, clock):
        options = SchedulerOptions(
            fair=False, urgency=True, hold_new=False, tie_seed=host
        )
        self.scheduler = Scheduler(
            [], options=options, max_upstreams=MAX_UPSTREAMS, parts=parts
        )
        self.upstreams = {}
        self.grants = RateGrants(
            rates, self.scheduler, self.upstreams, execute=execute, clock=clock
        )
        self.refusal = None


class UpstreamPools(mode.Service):
    """Assigns requests a slot on an upstream of their service.

    Handles two load patterns: a surge, in which requests queue here rather than in
    the upstreams, which do not order them and slow down; and several hosts that use
    the same upstreams without a common queue.

    Parameters
    ----------
    runtime : Runtime
        Provides the host's name, gossip and clock.

    Attributes
    ----------
    rates : UpstreamRates
        Rates that upstreams have stated, or take while they are cold.
    cold : ColdUpstreams
        Upstreams that are cold.
    links : Links
        Upstreams to which this host can open connections.
    parts : KeptParts
        Parts of prompts that engines keep.
    evidence : FleetEvidence
        Results of upstreams at all hosts.
    evacuations : Evacuations
        Failure domains whose upstreams get no requests.
    shared : SharedQueues
        Common queues of all hosts.
    """

    def __init__(self, runtime):
        super().__init__()
        self._runtime = runtime
        self._pools = {}
        self._waiting = {}
        self._numbers = itertools.count(1)
        self._outliers = OutlierDetector(consecutive=FAILURES_TO_EJECT)
        self._engines = {}
        self._loads = FleetLoads()
        self._leaving = {}
        self._find_list_age = lambda: -1.0
        self._granted = FleetLoads()
        self.shared = SharedQueues(runtime, self)
        self.rates = UpstreamRates(runtime.host)
        self.cold = ColdUpstreams(self.rates)
        self.links = Links()
        self.parts = KeptParts()
        self.evidence = FleetEvidence(runtime.gossip.membership.failure_domain)
        self.evacuations = Evacuations(on_change=self._apply_all_states)

    @property
    def running(self):
        """dict of str to int: This host's requests in flight on each upstream."""
        return self._loads.count_running()

    @property
    def reserved(self):
        """dict of str to int: Memory tokens that these requests need."""
        return self._loads.count_tokens()

    @property
    def granted(self):
        """FleetLoads: The part of the requests in flight that a home granted slots."""
        return self._granted

    @property
    def list_age(self):
        """float: Seconds since the list of upstreams was up to date; -1 if unknown."""
        return self._find_list_age()

    def follow_list(self, find_age):
        """Set the function that returns the age of the list of upstreams."""
        self._find_list_age = find_age

    def set_services(self, services):
        """Apply the services of a configuration."""
        self._engines = {name: service.engine for name, service in services.items()}
        self.shared.set_services(name for name in services if self._engines[name])
        self.cold.set_services(services)
        for pool in self._pools.values():
            for upstream in pool.upstreams.values():
                pool.scheduler.add_upstream(self._limits(upstream))
                self.cold.note_listed(upstream, self._now())

    def set_upstreams(self, upstreams):
        """Replace the list of upstreams; those not listed are removed."""
        by_service = {}
        now = self._now()
        for upstream in upstreams:
            run = upstream.name, upstream.started_at
            if run in self._leaving:
                self._leaving[run] = now
                upstream = replace(upstream, leaving=True)
            by_service.setdefault(upstream.service, {})[upstream.name] = upstream
        for run, noted_at in list(self._leaving.items()):
            if now - noted_at > LEAVING_MEMORY_SECONDS:
                del self._leaving[run]
        self.rates.forget(now)
        self.links.set_upstreams({each.name: each.started_at for each in upstreams})
        for service in by_service.keys() | self._pools.keys():
            if service not in self._pools:
                self._pools[service] = self._build_pool()
            self._update(service, by_service.get(service, {}))

    def _build_pool(self):
        return _Pool(
            self._runtime.host,
            self.parts,
            self.rates,
            execute=self._execute,
            clock=self._runtime.clock,
        )

    @asynccontextmanager
    async def lease(self, request, *, upstream_hint="", placed=None):
        """Hold a slot while the context lasts.

        Parameters
        ----------
        request : SlotRequest
            Request for a slot; its pool is the service.
        upstream_hint : str, optional
            Upstream that served the program's last turn.
        placed : dict, optional
            Gets the fields of a log line that tell of the choice.

        Yields
        ------
        Upstream
            Upstream to send the request to.

        Raises
        ------
        CallError
            ``overloaded``: no slot in time. Nothing was sent.
        """
        pool = self._find_usable(request)
        while True:
            # The scheduler serves this host only: ids are unique here, one holder will
            # do.
            request_id = f"{next(self._numbers)}"
            request = replace(request, request_id=request_id, holder="here")
            async with self._hold_slot(pool, request, upstream_hint) as grant:
                if self._is_usable(pool, grant.upstream):
                    fields = record_placement(grant, self._runtime.metrics)
                    if placed is not None:
                        placed.update(fields)
                    async with self._count(pool, request, grant) as upstream:
                        yield upstream
                    return
            logger.info(
                "slot of an upstream that has left meanwhile",
                extra={"decision": "upstream", "upstream": grant.upstream},
            )
            pool = self._find_usable(request)

    @asynccontextmanager
    async def _count(self, pool, request, grant):
        """Count a request in flight while the context lasts; yield its upstream."""
        name = grant.upstream
        tokens = request.total_tokens if self._engines.get(request.pool) else 0
        self._loads.acquire(name, tokens)
        self._outliers.note_sent(name, self._now())
        try:
            yield pool.upstreams[name]
        finally:
            self._loads.release(name, tokens)

    @asynccontextmanager
    async def grant(self, request, *, upstream_hint=""):
        """Hold a slot for a request, which another host may send.

        Yields
        ------
        Grant
            The slot.

        Raises
        ------
        CallError
            ``overloaded``: no slot in time.
        PeerError
            This host reaches no upstream of the service.
        """
        pool = self._pools.get(request.pool)
        if pool is None or pool.refusal or not pool.upstreams:
            raise PeerError(f"no upstream of {request.pool!r} is reached here")
        now = self._now()
        if upstream_hint and request.prefix_tokens:
            pool.scheduler.learn_prefix(
                upstream_hint, request.program, request.prefix_tokens, now
            )
        grant = await self._acquire(pool, request)
        try:
            yield grant
        finally:
            self._finish(pool, request)

    @asynccontextmanager
    async def _hold_slot(self, pool, request, upstream_hint):
        """Hold a slot that the home of the queue grants, or else this host."""
        scheduler = pool.scheduler
        home = self._find_home(pool, request)
        if home is None:
            async with self.grant(request, upstream_hint=upstream_hint) as grant:
                yield grant
            return
        avoided = [name for name in pool.upstreams if not scheduler.is_up(name)]
        ask = replace(request, excluded=(*request.excluded, *avoided))
        async with self.shared.hold(home, ask, upstream_hint=upstream_hint) as grant:
            if grant is None or not self._may_adopt(pool, grant.upstream):
                self._find_usable(request)  # upstreams may have left meanwhile
                async with self.grant(request, upstream_hint=upstream_hint) as grant:
                    yield grant
                return
            scheduler.adopt(request, grant.upstream, self._now())
            self._granted.acquire(grant.upstream, request.total_tokens)
            try:
                yield grant
            finally:
                self._granted.release(grant.upstream, request.total_tokens)
                self._finish(pool, request)

    def _find_home(self, pool, request):
        """Return the host to ask for a slot, or None if this host grants it."""
        # A home knows neither this host's part of stated rates nor allowed regions.
        if pool.grants.limited or request.regions is not None:
            return None
        home = self.shared.find_home(request.pool)
        if home is None:
            return None
        slots = pool.scheduler.slots
        return home if slots and is_busy(pool.scheduler.used, slots) else None

    @staticmethod
    def _may_adopt(pool, name):
        """Return whether this host may use an upstream that a home has chosen.

        It may have learned meanwhile that the upstream leaves, fails, is evacuated or
        has stated a rate.
        """
        return name not in pool.grants.limited and UpstreamPools._is_usable(pool, name)

    @staticmethod
    def _is_usable(pool, name):
        """Return whether an upstream may still be used, some time after its grant.

        Between a grant and the next step of the request that waited for it, a new list
        or an answer may tell that the upstream is gone, leaves or fails.
        """
        return name in pool.upstreams and pool.scheduler.is_up(name)

    def _finish(self, pool, request):
        tokens = request.output_tokens
        self._execute(
            pool.scheduler.finish(request.request_id, tokens, None, self._now())
        )

    def preview(self, request):
        """Return the `Preview` of a request.

        Raises
        ------
        CallError
            ``overloaded``, as by `lease`.
        """
        return self._find_usable(request).scheduler.preview(request, self._now())

    def _find_usable(self, request):
        """Return the pool of a request; raise `CallError` if it can't be served."""
        pool = self._pools.get(request.pool)
        if pool is None or not any(not u.leaving for u in pool.upstreams.values()):
            raise CallError(
                "overloaded",
                f"service {request.pool!r} has no upstream",
                retry_after=NO_UPSTREAM_RETRY_SECONDS,
            )
        if pool.refusal:
            raise _build_refusal(request.pool, *pool.refusal)
        pool.grants.update()
        if request.regions is not None or pool.grants.limited:
            allowed = self._list_allowed(pool, request)
            _check_regions(pool, request, allowed)
            pool.grants.check(request, allowed)
        return pool

    def find(self, name):
        """Return the listed `Upstream` called `name`, or None."""
        pool = self._find_pool(name)
        return pool.upstreams[name] if pool else None

    def note_leaving(self, upstream):
        """Send no more requests to an upstream that has said that it is leaving.

        The store may list it as usable for longer, or again. It is used once more
        after a restart, which changes its start time.
        """
        now = self._now()
        self._leaving[upstream.name, upstream.started_at] = now
        pool = self._pools[upstream.service]
        known = pool.upstreams.get(upstream.name)
        if known is None or known.leaving or known.started_at != upstream.started_at:
            return
        pool.upstreams[upstream.name] = replace(known, leaving=True)
        self._log_upstream(known, "leaving", source="answer")
        self._apply_states(upstream.service, now)

    def is_leaving(self, upstream):
        """Return whether an upstream is leaving or no longer listed."""
        pool = self._pools.get(upstream.service)
        known = pool.upstreams.get(upstream.name) if pool else None
        return known is None or known.leaving

    def explain_unusable(self, upstream):
        """Return why an upstream may get no request; empty if it may.

        The last check before a request is sent, some time after the upstream was
        chosen: at this host, or at another one that it asked.
        """
        pool = self._pools.get(upstream.service)
        known = pool.upstreams.get(upstream.name) if pool else None
        if known is None or known.started_at != upstream.started_at:
            return "upstream is not listed here"
        if known.leaving:
            return "upstream is leaving"
        if self.evacuations.covers(known):
            return "failure domain is evacuated"
        return ""

    def is_scarce(self, service):
        """Return whether this host reaches less than half of a service's upstreams."""
        upstreams = self._pools[service].upstreams.values()
        staying = [each.name for each in upstreams if not each.leaving]
        return 2 * sum(map(self.links.is_up, staying)) < len(staying)

    def list_relays(self, upstream, now):
        """Return the heartbeats of the other hosts that reach an upstream."""
        members = self._runtime.gossip.membership.list_active(now)
        return list_relays(members, upstream)

    def report(self, upstream, *, ok):
        """Record whether an upstream answered correctly.

        While its link is down, failures say nothing about the upstream.
        """
        now = self._now()
        if not ok and not self.links.is_up(upstream.name):
            return
        if ok and self._outliers.is_restored_by(upstream.name):
            self.evidence.note_restored(upstream.name, now)
        self._outliers.report(upstream.name, ok=ok, now=now)
        self.evidence.report(upstream.name, ok=ok, now=now)
        if not ok:
            self._apply_states(upstream.service, now)

    def report_doubtful(self, name):
        """Record a failure that need not be the upstream's: silence or an error.

        It is left out only if it fails far more than its peers.
        """
        if self.links.is_up(name):
            self.evidence.report(name, ok=False, now=self._now())

    def summarize_results(self, now):
        """Return the results of upstreams for other hosts, as `FleetEvidence` does."""
        return self.evidence.summarize(now, self._outliers.describe_ejected(now))

    def list_probed(self):
        """Return the upstreams whose next request is a probe after failures."""
        return self._outliers.list_probed(self._now())

    def update_remote_load(self, member, now):
        """Update another entry host's requests in flight after its heartbeat."""
        heartbeat = member.heartbeat
        if heartbeat.role == ENTRY:
            changed = self._loads.replace(
                heartbeat.host,
                *remove_granted(heartbeat, self._find_granted_here(heartbeat)),
            )
            self._report_changed(changed, now)
            self.evidence.merge(
                heartbeat.host,
                heartbeat.failure_domain,
                heartbeat.upstream_results,
                now,
            )

    @lasting_task
    async def _watch(self):
        while not self.should_stop:
            now = self._now()
            self._drop_silent(now)
            self.shared.update(now)
            for service, pool in self._pools.items():
                self._apply_states(service, now)
                pool.grants.update()
                self._execute(pool.scheduler.tick(now))
            await asyncio.sleep(TICK_SECONDS)

    async def _acquire(self, pool, request):
        future = asyncio.get_running_loop().create_future()
        self._waiting[request.request_id] = _Waiter(request, future)
        try:
            self._execute(pool.scheduler.submit(request, self._now()))
            if not future.done():
                pool.grants.update()
            return await future
        except asyncio.CancelledError:
            self._execute(pool.scheduler.cancel(request.request_id, self._now()))
            raise
        finally:
            self._waiting.pop(request.request_id, None)

    def _list_allowed(self, pool, request):
        """Return the upstreams that may run a request, also those that are down."""
        return [
            upstream
            for upstream in pool.upstreams.values()
            if not upstream.leaving
            and not self.evacuations.covers(upstream)
            and request.allows(upstream.region)
        ]

    def _execute(self, actions):
        for action in actions:
            if not isinstance(action, (Grant, Refuse)):
                continue
            if isinstance(action, Grant):
                self._count_grant(action)
            waiter = self._waiting.get(action.request.request_id)
            if waiter is None or waiter.future.done():
                continue
            if isinstance(action, Grant):
                waiter.future.set_result(action)
                continue
            retry_after = max(action.retry_after, MIN_RETRY_SECONDS)
            retry_after = min(retry_after, MAX_RETRY_SECONDS)
            scheduler = self._pools[action.request.pool].scheduler
            record_refusal(action, scheduler, retry_after, self._runtime.metrics)
            waiter.future.set_exception(
                CallError(
                    "overloaded",
                    f"no slot of {action.request.pool!r} in time",
                    retry_after=retry_after,
                )
            )

    def _count_grant(self, action):
        pool = self._pools[action.request.pool]
        self.rates.take(pool.upstreams[action.upstream], self._now())

    def _update(self, service, upstreams):
        pool = self._pools[service]
        now = self._now()
        for name in pool.upstreams.keys() - upstreams.keys():
            self._log_upstream(pool.upstreams.pop(name), "gone")
            pool.grants.limited.discard(name)
            self._execute(pool.scheduler.remove_upstream(name, now))
        for name, upstream in upstreams.items():
            known = pool.upstreams.get(name)
            self.cold.note_listed(upstream, now)
            if known == upstream:
                continue
            if known is not None and known.started_at != upstream.started_at:
                self._execute(pool.scheduler.remove_upstream(name, now))
            pool.upstreams[name] = upstream
            pool.scheduler.add_upstream(self._limits(upstream))
            pool.grants.update_upstream(name, now)
            self._report_remote(pool, name, now)
            self._log_upstream(upstream, "leaving" if upstream.leaving else "up")
        pool.grants.update()
        self._apply_states(service, now)

    def _apply_all_states(self):
        for service in self._pools:
            self._apply_states(service, self._now())

    def _apply_states(self, service, now):
        pool = self._pools[service]
        staying = [name for name, u in pool.upstreams.items() if not u.leaving]
        for name in self.evidence.find_outliers(staying, now):
            if self._outliers.eject(name, now):
                self._log_upstream(pool.upstreams[name], "ejected", source="fleet")
        for name, until in self.evidence.find_left_out(staying, now).items():
            if self._outliers.eject(name, now, until=until):
                self._log_upstream(pool.upstreams[name], "ejected", source="others")
        allowed = [
            name
            for name in staying
            if not self.evacuations.covers(pool.upstreams[name])
        ]
        usable = self._list_usable(service, allowed, now)
        pool.refusal = None
        if staying and not usable:
            pool.refusal = UNREACHABLE if allowed else EVACUATED
        if not usable:
            self._refuse_waiting(service, pool, pool.refusal or NO_UPSTREAM, now)
        is_any_back = False
        for name, upstream in pool.upstreams.items():
            state = UpstreamState.UP
            if upstream.leaving:
                state = UpstreamState.LEAVING
            elif name not in usable:
                state = UpstreamState.DOWN
            before = pool.scheduler.state(name)
            if before is not state:
                if before is UpstreamState.DOWN:
                    is_any_back = True
                    self.cold.note_back(upstream, now)
                    pool.grants.update_upstream(name, now)
                logger.info(
                    "upstream state",
                    extra={
                        "decision": "upstream",
                        "upstream": name,
                        "state": state.value,
                    },
                )
                self._execute(pool.scheduler.set_state(name, state, now))
        if is_any_back:
            pool.grants.update()

    def _list_usable(self, service, staying, now):
        """Return the upstreams that may get requests, directly or through a relay."""
        healthy = self._outliers.usable(staying, now)
        up = {name for name in healthy if self.links.is_up(name)}
        if up and not self.is_scarce(service):
            return up
        reached = {
            name
            for name in staying
            if self.links.is_up(name) or self.list_relays(name, now)
        }
        return reached.intersection(healthy) or reached

    def _refuse_waiting(self, service, pool, refusal, now):
        """Refuse the requests that wait for a service without a usable upstream."""
        for request_id, waiter in list(self._waiting.items()):
            if waiter.request.pool != service or waiter.future.done():
                continue
            waiter.future.set_exception(_build_refusal(service, *refusal))
            self._execute(pool.scheduler.cancel(request_id, now))

    def _find_granted_here(self, heartbeat):
        """Return the upstreams on which this host counts what it granted itself."""
        return {
            name
            for name in heartbeat.granted
            if (pool := self._find_pool(name)) is not None
            and self.shared.is_home(pool.upstreams[name].service)
        }

    def _drop_silent(self, now):
        """Stop counting the requests of hosts that are out of touch."""
        membership = self._runtime.gossip.membership
        for host in self._loads.hosts:
            member = membership.find(host)
            if member is None or not membership.is_live(member, now):
                self._report_changed(self._loads.drop(host), now)

    def _report_changed(self, names, now):
        """Tell schedulers of the changed load of other hosts."""
        for name in names:
            pool = self._find_pool(name)
            if pool is not None:
                self._report_remote(pool, name, now)

    def _report_remote(self, pool, name, now):
        load = self._loads.find_others(name)
        self._execute(
            pool.scheduler.report_load(name, load.requests, load.tokens, 0, 0, now)
        )

    def _find_pool(self, name):
        return next((p for p in self._pools.values() if name in p.upstreams), None)

    def _limits(self, upstream):
        engine = self._engines.get(upstream.service)
        if engine is None:
            return UpstreamLimits(upstream.name, upstream.slots, region=upstream.region)
        return UpstreamLimits(
            upstream.name,
            min(upstream.slots, engine.slots) or engine.slots,
            kv_tokens=engine.kv_tokens,
            prefill_rate=PREFILL_RATE,
            decode_seconds=DECODE_SECONDS,
            region=upstream.region,
        )

    @staticmethod
    def _log_upstream(upstream, state, *, source="store"):
        logger.info(
            "upstream listed",
            extra={
                "decision": "upstream",
                "upstream": upstream.name,
                "service": upstream.service,
                "address": upstream.address,
                "state": state,
                "source": source,
            },
        )

    def _now(self):
        return self._runtime.clock.monotonic()


def _check_regions(pool, request, allowed):
    """Raise `CallError` if no upstream in a request's regions is usable."""
    if request.regions is None:
        return
    if not any(pool.scheduler.is_up(upstream.name) for upstream in allowed):
        raise _build_refusal(request.pool, *OUTSIDE_REGIONS)


def _build_refusal(service, reason, retry_after):
    """Return the `CallError` for a service without a usable upstream."""
    return CallError("overloaded", f"{reason} of {service!r}", retry_after=retry_after)
