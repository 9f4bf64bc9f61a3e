"""Admission slots of upstreams, leased from the home of their group."""

import asyncio
import itertools
import logging
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace

import mode

from sapphireyard.exceptions import CallError, PeerUnavailable
from sapphireyard.scheduling import generated_slots
from sapphireyard.scheduling.generated_slots import ProgramGone, SlotAsk, SlotReturn
from sapphireyard.scheduling.groups import pick_group
from sapphireyard.scheduling.home_registry import HomeRegistry
from sapphireyard.scheduling.scheduling import SlotRequest, copy_fields
from sapphireyard.scheduling.slot_holder import HeldSlots, LocalFallback

__all__ = ["Lease", "SlotRequest", "SlotService", "Upstream"]

logger = logging.getLogger(__name__)

HEARTBEAT_SECONDS = 1.0
"""Interval of a holder's heartbeats to a home."""

TICK_SECONDS = 0.1
"""Interval of the checks for deadlines and silent holders."""

FALLBACK_DELAY_SECONDS = 2.0
"""Time without a home after which this host chooses upstreams locally."""

OVERLOADED = "overloaded"
RETRY_SECONDS = 0.1
MAX_ASK_SECONDS = 120.0
"""Maximum wait for a slot of a request without a deadline."""


@dataclass(frozen=True)
class Upstream:
    """A chosen upstream."""

    name: str
    address: str


@dataclass
class Lease:
    """A slot in use.

    Parameters
    ----------
    upstream : Upstream
        Upstream to which the request is sent.
    cached_tokens : int, optional
        Prefix tokens expected in its cache.
    """

    upstream: Upstream
    cached_tokens: int = 0
    reported_output: int = 0
    reported_cached: int = -1

    def report(self, *, output_tokens=0, cached_tokens=-1):
        """Set the usage of the request; sent when the slot is returned.

        Parameters
        ----------
        output_tokens : int, optional
            Tokens generated.
        cached_tokens : int, optional
            Prefix tokens found in the upstream's cache; -1 if not reported.
        """
        self.reported_output = output_tokens
        self.reported_cached = cached_tokens


class SlotService(mode.Service):
    """Leases slots of upstreams, as holder and as home.

    Parameters
    ----------
    runtime : Runtime
        Runtime of the process this belongs to.
    """

    def __init__(self, runtime):
        super().__init__()
        self._runtime = runtime
        self._numbers = itertools.count(1)
        self._held = HeldSlots()
        self._fallback = LocalFallback(self._held)
        self._registry = HomeRegistry(runtime)
        self._outages = {}
        runtime.peers.codec.register_module(generated_slots)
        self._registry.register()

    @property
    def homes(self):
        """dict of str to GroupHome: The groups whose home is this host."""
        return self._registry.homes

    @asynccontextmanager
    async def lease(self, request):
        """Hold a slot for a request for the duration of the context.

        Parameters
        ----------
        request : SlotRequest
            The request to be sent.

        Yields
        ------
        Lease
            The upstream to use.

        Raises
        ------
        CallError
            ``overloaded``: no slot before the deadline. Nothing was sent.
        """
        if not request.program:
            name = f"{self._runtime.host}:{next(self._numbers)}"
            request = replace(request, program=name, root=name)
        group = self._find_group(request)
        request, lease = await self._acquire(group, request)
        self._held.add(group, request, lease.upstream.name)
        try:
            yield lease
        finally:
            self._held.remove(group, request.request_id)
            self._return_slot(group, request, lease)

    def end_program(self, program, root, pool):
        """Notify the home of a program's group that the program ended."""
        found = self._configuration.pools.get(pool)
        if found is None or not found.upstreams:
            return
        group = pick_group(self._registry.split(found), root)
        home = self._find_home(group)
        if home:
            self._runtime.peers.tell(
                home, ProgramGone(program, root, pool, group.number)
            )

    def set_state(self, pool, upstream, state):
        """Set the state of an upstream in the groups whose home is this host."""
        self._registry.set_state(pool, upstream, state)

    @mode.Service.task
    async def _tick_periodically(self):
        while not self.should_stop:
            self.tick()
            await self.sleep(TICK_SECONDS)

    @mode.Service.task
    async def _send_heartbeats_periodically(self):
        while not self.should_stop:
            await self.send_heartbeats()
            await self.sleep(HEARTBEAT_SECONDS)

    def tick(self):
        """Run due work of the homes on this host."""
        self._registry.tick()

    async def send_heartbeats(self):
        """Renew all held slots with one message to the home of each group."""
        await asyncio.gather(*map(self._send_heartbeat, self._held.groups))

    async def _send_heartbeat(self, group):
        home = self._find_home(group)
        if home is None:
            return
        try:
            while True:
                heartbeat = self._held.build_heartbeat(group)
                answer = await self._runtime.peers.ask(
                    home, heartbeat, timeout=HEARTBEAT_SECONDS
                )
                if not self._held.apply_answer(group, answer) or heartbeat.details:
                    return
        except (PeerUnavailable, CallError) as error:
            logger.debug("heartbeat to home %s failed: %s", home, error)

    @property
    def _configuration(self):
        return self._runtime.configuration.current

    def _find_home(self, group):
        return self._registry.finder.find(group.key)

    def _find_group(self, request):
        pool = self._configuration.pools.get(request.pool)
        if pool is None or not pool.upstreams:
            raise CallError(OVERLOADED, f"pool {request.pool!r} has no upstreams")
        return pick_group(self._registry.split(pool), request.root)

    async def _acquire(self, group, request):
        """Return the request with the id of the successful ask, and its lease."""
        while True:
            number = next(self._numbers)
            host = f"{self._runtime.host}:{self._runtime.incarnation}"
            request = replace(
                request, request_id=f"{host}:{number}", holder=self._runtime.host
            )
            lease = await self._try_acquire(group, request)
            if lease is not None:
                return request, lease
            self._check_deadline(request)
            await asyncio.sleep(RETRY_SECONDS)
            group = self._find_group(request)

    async def _try_acquire(self, group, request):
        home = self._find_home(group)
        if home is not None:
            try:
                answer = await self._ask(home, group, request)
            except (PeerUnavailable, CallError) as error:
                if error.code == OVERLOADED:
                    raise
                logger.warning(
                    "home of a group gave no slot: %s",
                    error,
                    extra={"group": group.key, "home": home},
                )
            else:
                self._outages.pop(group.key, None)
                return answer
        return self._choose_locally(group, request)

    async def _ask(self, home, group, request):
        left = MAX_ASK_SECONDS
        if request.deadline:
            left = max(
                RETRY_SECONDS, request.deadline - self._runtime.clock.monotonic()
            )
        ask = SlotAsk(
            **copy_fields(request),
            request_id=request.request_id,
            pool=request.pool,
            group=group.number,
            seconds_left=left if request.deadline else 0.0,
            excluded=list(request.excluded),
        )
        try:
            answer = await self._runtime.peers.ask(
                home, ask, timeout=left + RETRY_SECONDS
            )
        except (PeerUnavailable, asyncio.CancelledError):
            self._send_return(home, group, request)
            raise
        return Lease(
            Upstream(answer.upstream, answer.address),
            cached_tokens=answer.cached_tokens,
        )

    def _choose_locally(self, group, request):
        """Return a lease by the local fallback.

        None during the first `FALLBACK_DELAY_SECONDS` of an outage.
        """
        now = self._runtime.clock.monotonic()
        since = self._outages.setdefault(group.key, now)
        if now - since < FALLBACK_DELAY_SECONDS:
            return None
        pool = self._configuration.pools[group.pool]
        bound = self._registry.batch_size(pool) // max(
            1, len(self._registry.finder.members)
        )
        name = self._fallback.choose(group, request, max(1, bound))
        addresses = {each.name: each.address for each in group.upstreams}
        logger.info(
            "slot guessed",
            extra={
                "decision": "placement",
                "request_id": request.request_id,
                "program": request.program,
                "customer": request.customer,
                "pool": request.pool,
                "upstream": name,
                "among": sorted(addresses),
                "reason": "home_unreachable",
                "holder": request.holder,
            },
        )
        return Lease(Upstream(name, addresses[name]))

    def _check_deadline(self, request):
        if request.deadline and self._runtime.clock.monotonic() >= request.deadline:
            raise CallError(
                OVERLOADED, "no slot before the deadline", retry_after=RETRY_SECONDS
            )

    def _return_slot(self, group, request, lease):
        home = self._find_home(group)
        if home is not None:
            self._send_return(home, group, request, lease)

    def _send_return(self, home, group, request, lease=None):
        message = SlotReturn(
            request_id=request.request_id, pool=group.pool, group=group.number
        )
        if lease is not None:
            message.output_tokens = lease.reported_output
            message.cached_tokens = lease.reported_cached
        self._runtime.peers.tell(home, message)
