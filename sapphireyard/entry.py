"""Binary of an entry host: serves callers and owns programs."""

import asyncio
import logging

import mode

from sapphireyard._binaries import run_binary, run_service
from sapphireyard.callers.administration import add_routes
from sapphireyard.callers.gateway import Gateway
from sapphireyard.configuration.configuration import ConfigurationService
from sapphireyard.generated_settings import EntrySettings
from sapphireyard.intake import Intake
from sapphireyard.journal.collector import CollectorService
from sapphireyard.journal.journal import JournalService
from sapphireyard.journal.lifetimes import LifetimeService
from sapphireyard.limits.shares import LimitService
from sapphireyard.metrics import Metrics, observe_store
from sapphireyard.ownership.ownership import OwnershipService
from sapphireyard.programs.dispatcher import Dispatcher
from sapphireyard.programs.programs import Programs
from sapphireyard.programs.texts import TextService
from sapphireyard.runtime import Runtime
from sapphireyard.scheduling.slots import SlotService
from sapphireyard.scheduling.upstream_states import UpstreamStates
from sapphireyard.storage.objects import ObjectStore
from sapphireyard.streams.peers import Peers
from sapphireyard.upstreams.outliers import OutlierDetector
from sapphireyard.upstreams.quarantine import QuarantineService
from sapphireyard.upstreams.retries import RetryBudget
from sapphireyard.upstreams.upstreams import Upstreams

logger = logging.getLogger(__name__)

PROGRAM = "sapphireyard-entry"
DRAIN_CHECK_SECONDS = 0.05
QUIET_SECONDS = 0.5
"""Time without a request after which open connections count as unused."""


class EntryService(mode.Service):
    """An entry host from its start to its planned stop.

    Parameters
    ----------
    runtime : Runtime
        Runtime of the process, with all services set; see `build_runtime`.
    """

    def __init__(self, runtime):
        super().__init__()
        self._runtime = runtime

    async def on_start(self):
        runtime = self._runtime
        await runtime.peers.listen()
        await runtime.gateway.listen()
        for service in (
            runtime.peers,
            runtime.configuration,
            runtime.journal,
            runtime.ownership,
            runtime.upstreams,
            runtime.limits,
            runtime.slots,
            runtime.upstream_states,
            runtime.quarantine,
            runtime.dispatcher,
            runtime.lifetimes,
            runtime.texts,
            runtime.collector,
            runtime.gateway,
        ):
            await self.add_runtime_dependency(service)
        runtime.configuration.on_change(self._end_work_of_withdrawn_keys)

    def _end_work_of_withdrawn_keys(self, configuration):
        self._runtime.gateway.cancel_requests_of_withdrawn_keys(
            configuration.is_withdrawn
        )
        self._runtime.dispatcher.cancel_runs_of_withdrawn_keys(
            configuration.is_withdrawn
        )

    async def drain(self):
        """Hand over partitions, forward new calls and finish running requests."""
        runtime = self._runtime
        loop = asyncio.get_running_loop()
        started = loop.time()
        deadline = started + runtime.settings.stop_seconds
        runtime.gateway.draining = True
        handed_over = await runtime.ownership.leave(
            timeout=runtime.settings.stop_seconds
        )
        logger.info(
            "partitions handed over" if handed_over else "partitions not handed over"
        )
        forward_until = started + runtime.settings.address_ttl_seconds
        busy_at = started
        while loop.time() < deadline:
            if runtime.gateway.open_requests or runtime.dispatcher.running_calls:
                busy_at = loop.time()
            if loop.time() >= forward_until or not self._has_other_members():
                await runtime.gateway.close_listener()
                if loop.time() - busy_at >= QUIET_SECONDS:
                    return
            await asyncio.sleep(DRAIN_CHECK_SECONDS)
        logger.warning("%s requests are cut off", runtime.gateway.open_requests)

    def _has_other_members(self):
        members = self._runtime.ownership.assignment.members
        return any(host != self._runtime.host for host in members)


def build_runtime(settings):
    """Return a `Runtime` with all services of an entry host."""
    runtime = Runtime(settings, ObjectStore(settings.store))
    runtime.metrics = Metrics()
    observe_store(runtime.store)
    runtime.intake = Intake(
        max_connections=settings.max_connections,
        max_pending=settings.body_memory_bytes,
    )
    runtime.programs = Programs()
    runtime.peers = Peers(runtime, frame_bytes=settings.body_memory_bytes)
    runtime.configuration = ConfigurationService(runtime)
    runtime.journal = JournalService(runtime)
    runtime.ownership = OwnershipService(runtime)
    runtime.upstreams = Upstreams(runtime)
    runtime.limits = LimitService(runtime)
    runtime.slots = SlotService(runtime)
    runtime.quarantine = QuarantineService(runtime)
    runtime.retries = RetryBudget()
    runtime.outliers = OutlierDetector()
    runtime.upstream_states = UpstreamStates(runtime)
    runtime.lifetimes = LifetimeService(runtime)
    runtime.texts = TextService(runtime)
    runtime.collector = CollectorService(runtime)
    runtime.dispatcher = Dispatcher(runtime)
    runtime.gateway = Gateway(runtime, add_routes=[add_routes])
    return runtime


async def run(settings, signals):
    """Run an entry host until it is asked to stop; return the exit status."""
    runtime = build_runtime(settings)
    service = EntryService(runtime)
    return await run_service(
        service,
        runtime,
        signals,
        find_address=lambda: runtime.gateway.address,
        drain=service.drain,
    )


def main():
    """Run the binary."""
    run_binary(run, EntrySettings, name=PROGRAM)


if __name__ == "__main__":
    main()
