"""Binary of a control process: reconciles the engines of pools with the tables.

For each pool one process is active, chosen by a lease in the store. It orders
the engines to load the models and adapters and take the roles of the pool's
row, and releases memory that engines hold for programs that ended or whose
owner died.
"""

import asyncio
import logging
import secrets

import mode

from sapphireyard._binaries import run_binary, run_service
from sapphireyard.configuration.configuration import ConfigurationService
from sapphireyard.exceptions import (
    CallError,
    PeerError,
    RecordError,
    StoreError,
    StoreUnavailable,
)
from sapphireyard.generated_control_settings import ControlSettings
from sapphireyard.ownership.assignment_store import AssignmentStore
from sapphireyard.runtime import Runtime
from sapphireyard.storage import generated_control
from sapphireyard.storage.generated_control import LiveQuery
from sapphireyard.storage.lease_store import LeaseStore
from sapphireyard.storage.leases import LeaseManager
from sapphireyard.storage.objects import ObjectStore
from sapphireyard.streams.peers import Peers
from sapphireyard.upstreams.engines import EngineClient, EngineFailure, StaleFencing
from sapphireyard.upstreams.orders import plan_orders
from sapphireyard.upstreams.sweeps import MemorySweep, merge_answers

logger = logging.getLogger(__name__)

PROGRAM = "sapphireyard-control"
LEASE_TICK_SHARE = 0.1
"""Interval between checks of a lease, as a share of its length."""

PEER_TIMEOUT_SECONDS = 2.0
"""Timeout of a query to an entry host."""

MAX_DIGESTS_ASKED = 5000
"""Maximum number of programs in one `LiveQuery`."""

TOKEN_BYTES = 8


class PoolControl:
    """The control of one pool by this process.

    Parameters
    ----------
    runtime : Runtime
        Runtime of the control process.
    engines : EngineClient
        Connections to engines.
    name : str
        Name of the pool.
    """

    def __init__(self, runtime, engines, name):
        settings = runtime.settings
        self._runtime = runtime
        self._engines = engines
        self._name = name
        self._lease_store = LeaseStore(runtime.store, name)
        self._sweep = MemorySweep(grace_seconds=settings.sweep_seconds)
        self._drained = set()
        self.lease = LeaseManager(
            settings.host,
            lease_seconds=settings.lease_seconds,
            order_seconds=settings.order_seconds,
        )

    @property
    def _pool(self):
        configuration = self._runtime.configuration.current
        return configuration.pools.get(self._name) if configuration else None

    async def keep_lease(self):
        """Acquire or renew the lease when due."""
        held_before = self.lease.is_held(self._now())
        await self._lease_store.step(self.lease, self._now, self._make_token)
        held = self.lease.is_held(self._now())
        if held != held_before:
            logger.info(
                "lease acquired" if held else "lease lost",
                extra={"pool": self._name, "fencing": self.lease.fencing},
            )

    async def reconcile(self, assignment):
        """Send due orders and release memory once, if the lease is held."""
        pool = self._pool
        if pool is None or not self.lease.is_held(self._now()):
            return
        self._runtime.configuration.check_fresh()
        for upstream in pool.upstreams:
            try:
                await self._reconcile_engine(pool, upstream)
            except EngineFailure as error:
                logger.warning(
                    "engine not reconciled: %s",
                    error,
                    extra={"pool": pool.name, "upstream": upstream.name},
                )
        await self._release_memory(pool, assignment)
        await self._log_drained(pool)

    async def _reconcile_engine(self, pool, upstream):
        state = await self._engines.read_state(upstream.address)
        for order in plan_orders(pool, upstream, state):
            if not await self._may_send_order(upstream):
                return
            body = order.encode(
                fencing=self.lease.fencing, holder=self._runtime.settings.host
            )
            logger.info(
                "sending order to engine",
                extra={"decision": "order", "upstream": upstream.name, "order": body},
            )
            await self._engines.send_order(
                upstream.address, body, seconds=self._runtime.settings.order_seconds
            )
            if upstream.fencing == "ignore":
                await self._check_applied(upstream, order)

    async def _may_send_order(self, upstream):
        """Return whether an order may be sent now.

        For an upstream that does not check the fencing number itself, the lease
        is verified first by a renewal.
        """
        checks = upstream.fencing == "check"
        if not checks and self.lease.is_held(self._now()):
            await self._lease_store.renew(self.lease, self._now, self._make_token)
        return self.lease.may_send_order(self._now(), checks_fencing=checks)

    async def _check_applied(self, upstream, order):
        """Check that an upstream that ignores fencing numbers has applied an order."""
        state = await self._engines.read_state(upstream.address)
        present = {**state.models, **state.adapters, state.role: ""}
        applied = (order.name in present) != order.kind.startswith("unload")
        if not applied:
            raise EngineFailure(f"{order} was overridden by another order")

    async def _release_memory(self, pool, assignment):
        held = {}
        for upstream in pool.upstreams:
            try:
                held[upstream] = await self._engines.read_cached_tokens(
                    upstream.address
                )
            except EngineFailure as error:
                logger.debug("memory of %s not read: %s", upstream.name, error)
        if assignment is None or not any(held.values()):
            return
        live, is_complete = await self._find_live(held, assignment)
        due = self._sweep.find_releasable(
            {upstream.address: set(programs) for upstream, programs in held.items()},
            live,
            is_complete=is_complete,
            now=self._now(),
        )
        for address, digest in due:
            if not self.lease.is_held(self._now()):
                return
            await self._release(address, digest)

    async def _find_live(self, held, assignment):
        digests = sorted({digest for programs in held.values() for digest in programs})
        query = LiveQuery(digests=digests[:MAX_DIGESTS_ASKED])
        hosts = list(assignment.members)
        answers = await asyncio.gather(*(self._ask(host, query) for host in hosts))
        live, is_complete = merge_answers(
            dict(zip(hosts, answers, strict=True)), assignment
        )
        # Digests beyond the limit were not queried; their memory is kept for now.
        return live | set(digests[MAX_DIGESTS_ASKED:]), is_complete

    async def _ask(self, host, query):
        try:
            return await self._runtime.peers.ask(
                host, query, timeout=PEER_TIMEOUT_SECONDS
            )
        except (PeerError, CallError) as error:
            logger.info("live programs not read from %s: %s", host, error)
            return None

    async def _release(self, address, digest):
        try:
            await self._engines.release(address, digest)
        except EngineFailure as error:
            logger.info("memory not released: %s", error)
            return
        logger.info(
            "memory released",
            extra={"decision": "release", "upstream": address, "digest": digest},
        )

    async def _log_drained(self, pool):
        leaving = {each.name for each in pool.upstreams if each.state == "leaving"}
        self._drained &= leaving
        for upstream in pool.upstreams:
            if upstream.name in self._drained or upstream.name not in leaving:
                continue
            try:
                load = await self._engines.read_load(upstream.address)
            except EngineFailure:
                continue
            if not load.get("running") and not load.get("waiting"):
                self._drained.add(upstream.name)
                logger.info("upstream is drained", extra={"upstream": upstream.name})

    def _now(self):
        return self._runtime.clock.monotonic()

    def _make_token(self):
        return secrets.token_hex(TOKEN_BYTES)


class ControlService(mode.Service):
    """Controls the model pools for which this process holds the lease.

    Parameters
    ----------
    runtime : Runtime
        Runtime of the control process, with peers and configuration set.
    """

    def __init__(self, runtime):
        super().__init__()
        self._runtime = runtime
        self._engines = EngineClient()
        self._assignments = AssignmentStore(runtime.store)
        self._assignment = None
        self.pools = {}
        runtime.peers.codec.register_module(generated_control)

    async def on_start(self):
        await self._engines.open()
        await self.add_runtime_dependency(self._runtime.peers)
        await self.add_runtime_dependency(self._runtime.configuration)

    async def on_stop(self):
        await self._engines.close()

    @mode.Service.task
    async def _keep_leases(self):
        while not self.should_stop:
            self._update_pools()
            await asyncio.gather(*map(self._keep_lease, self.pools.values()))
            await self.sleep(self._runtime.settings.lease_seconds * LEASE_TICK_SHARE)

    async def _keep_lease(self, pool):
        try:
            await pool.keep_lease()
        except (StoreError, ValueError) as error:
            logger.info("lease not acquired or renewed: %s", error)

    @mode.Service.task
    async def _reconcile_pools(self):
        while not self.should_stop:
            await self._read_assignment()
            for pool in list(self.pools.values()):
                try:
                    await pool.reconcile(self._assignment)
                except (StoreError, CallError, StaleFencing) as error:
                    logger.warning("pool not reconciled: %s", error)
            await self.sleep(self._runtime.settings.sweep_seconds)

    def _update_pools(self):
        configuration = self._runtime.configuration.current
        if configuration is None:
            return
        wanted = {
            route.pool
            for route in configuration.routes.values()
            if route.kind == "model"
        }
        for name in wanted - set(self.pools):
            self.pools[name] = PoolControl(self._runtime, self._engines, name)
        for name in set(self.pools) - wanted:
            del self.pools[name]

    async def _read_assignment(self):
        try:
            self._assignment = await self._assignments.read()
        except (StoreUnavailable, RecordError) as error:
            logger.info("assignment not read: %s", error)
            return
        if self._assignment is None:
            return
        self._runtime.peers.static_addresses = {
            host: member.peer_address
            for host, member in self._assignment.members.items()
        }


def build_runtime(settings):
    """Return the `Runtime` of a control process."""
    runtime = Runtime(settings, ObjectStore(settings.store))
    runtime.peers = Peers(runtime)
    runtime.configuration = ConfigurationService(runtime)
    return runtime


async def run(settings, signals):
    """Run a control process until it is asked to stop; return the exit status."""
    runtime = build_runtime(settings)
    service = ControlService(runtime)
    await runtime.peers.listen()
    return await run_service(
        service, runtime, signals, find_address=lambda: runtime.peers.address
    )


def main():
    """Run the binary."""
    run_binary(run, ControlSettings, name=PROGRAM)


if __name__ == "__main__":
    main()
