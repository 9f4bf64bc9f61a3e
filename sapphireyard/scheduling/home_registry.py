"""The groups of upstreams whose home is this host, and their message handlers."""

import logging

from sapphireyard.exceptions import NotHome
from sapphireyard.scheduling.capacity import UpstreamState
from sapphireyard.scheduling.generated_slots import (
    HeartbeatAnswer,
    ProgramGone,
    SlotAsk,
    SlotGranted,
    SlotHeartbeat,
    SlotReturn,
)
from sapphireyard.scheduling.groups import HomeFinder, split_groups
from sapphireyard.scheduling.scheduling import SlotRequest, copy_fields
from sapphireyard.scheduling.slot_homes import GroupHome
from sapphireyard.streams.generated_messages import Done
from sapphireyard.upstreams.completions import digest_program

SERVICE_KIND = "service"
"""Kind of routes to plain services."""

logger = logging.getLogger(__name__)


class HomeRegistry:
    """Opens, configures and closes the homes of groups on this host.

    Parameters
    ----------
    runtime : Runtime
        Runtime of the process this belongs to.
    """

    def __init__(self, runtime):
        self._runtime = runtime
        self._finder = HomeFinder(runtime)
        self._homes = {}
        self._states = {}
        self._groups = {}
        self._configured = None
        self._service_pools = frozenset()

    @property
    def homes(self):
        """dict of str to GroupHome: The groups whose home is this host."""
        return self._homes

    def batch_size(self, pool):
        """Return how many requests an upstream of a pool runs at once."""
        self._apply_configuration()
        if pool.name in self._service_pools:
            return pool.service_concurrency
        return pool.batch_size

    @property
    def finder(self):
        """HomeFinder: Finds the homes of groups."""
        return self._finder

    def register(self):
        """Register the handlers of messages from holders."""
        peers = self._runtime.peers
        peers.register(SlotAsk, self.serve_ask)
        peers.register(SlotReturn, self.serve_return)
        peers.register(SlotHeartbeat, self.serve_heartbeat)
        peers.register(ProgramGone, self.serve_program_gone)

    def split(self, pool):
        """Return the groups of a pool."""
        found = self._groups.get(pool.name)
        if found is None or found[0] is not pool:
            found = self._groups[pool.name] = (pool, split_groups(pool))
        return found[1]

    def set_state(self, pool, upstream, state):
        """Set the state of an upstream in the groups whose home is this host."""
        if state is UpstreamState.UP:
            self._states.pop((pool, upstream), None)
        else:
            self._states[(pool, upstream)] = state
        for home in self._homes.values():
            if home.group.pool == pool and upstream in home.scheduler.upstreams:
                home.set_state(upstream, state)

    async def serve_ask(self, message, context):
        """Serve a `SlotAsk`."""
        home = self._open_home(message.pool, message.group)
        now = self._runtime.clock.monotonic()
        request = SlotRequest(
            **copy_fields(message),
            request_id=message.request_id,
            pool=message.pool,
            deadline=now + message.seconds_left if message.seconds_left else 0.0,
            excluded=tuple(message.excluded),
            holder=context.host,
        )
        grant = await home.ask(request)
        addresses = {each.name: each.address for each in home.group.upstreams}
        return SlotGranted(
            upstream=grant.upstream,
            address=addresses[grant.upstream],
            cached_tokens=grant.cached_tokens,
        )

    async def serve_return(self, message, context):
        """Serve a `SlotReturn`."""
        home = self._homes.get(f"{message.pool}/{message.group}")
        if home:
            home.return_slot(message)
        return Done()

    async def serve_heartbeat(self, message, context):
        """Serve a `SlotHeartbeat`."""
        home = self._open_home(message.pool, message.group)
        return HeartbeatAnswer(unknown=home.renew(context.host, message))

    async def serve_program_gone(self, message, context):
        """Serve a `ProgramGone`."""
        home = self._homes.get(f"{message.pool}/{message.group}")
        if home:
            home.end_program(message.program)
        return Done()

    def tick(self):
        """Run due work of the homes; close those that moved to another host."""
        self._apply_configuration()
        members = self._finder.members
        for key, home in list(self._homes.items()):
            owner = self._finder.find(key)
            if owner == self._runtime.host:
                home.tick(members)
                continue
            del self._homes[key]
            home.close(NotHome(owner))

    def _open_home(self, pool_name, number):
        """Return the `GroupHome` of a group; create it if necessary.

        Raises
        ------
        NotHome
            This host is not the home of the group.
        """
        self._apply_configuration()
        key = f"{pool_name}/{number}"
        owner = self._finder.find(key)
        current = self._runtime.configuration.current
        pool = current.pools.get(pool_name) if current is not None else None
        groups = self.split(pool) if pool else ()
        if owner != self._runtime.host or number >= len(groups):
            raise NotHome(owner)
        if key not in self._homes:
            self._homes[key] = GroupHome(
                pool,
                groups[number],
                self._runtime.clock,
                service=pool_name in self._service_pools,
                on_release=self._release_prefix,
            )
            self._configure_home(self._homes[key], pool, groups[number])
        return self._homes[key]

    def _apply_configuration(self):
        """Apply the newest configuration to the homes, if it changed."""
        current = self._runtime.configuration.current
        if current is self._configured or current is None:
            return
        self._configured = current
        routes = current.routes.values()
        self._service_pools = frozenset(
            route.pool for route in routes if route.kind == SERVICE_KIND
        )
        for key, home in list(self._homes.items()):
            pool = current.pools.get(home.group.pool)
            groups = self.split(pool) if pool else ()
            if home.group.number >= len(groups):
                del self._homes[key]
                home.close(NotHome(None))
                continue
            self._configure_home(home, pool, groups[home.group.number])

    def _configure_home(self, home, pool, group):
        home.configure(pool, group, self._runtime.configuration.current.customers)
        for (pool_name, upstream), state in self._states.items():
            if pool_name == pool.name and upstream in home.scheduler.upstreams:
                home.set_state(upstream, state)

    def _release_prefix(self, address, program):
        """Release the memory that a program no longer needs on an upstream."""
        if address and self._runtime.slots is not None:
            self._runtime.slots.add_future(self._send_release(address, program))

    async def _send_release(self, address, program):
        name = digest_program(program)
        try:
            await self._runtime.upstreams.release_program(address, name)
        except Exception as error:
            logger.warning(
                "releasing the prefix of a program failed: %s",
                error,
                extra={"program": program},
            )
