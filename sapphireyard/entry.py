"""Binary of an entry host: serves callers and owns programs."""

import asyncio
import logging

import mode

from sapphireyard._binaries import run_binary, run_service
from sapphireyard.callers.administration import add_routes
from sapphireyard.callers.gateway import Gateway
from sapphireyard.configuration.configuration import ConfigurationService
from sapphireyard.generated_settings import EntrySettings
from sapphireyard.journal.collector import CollectorService
from sapphireyard.journal.journal import JournalService
from sapphireyard.journal.lifetimes import LifetimeService
from sapphireyard.limits.shares import LimitService
from sapphireyard.metrics import Metrics, observe_store
from sapphireyard.ownership.ownership import OwnershipService
from sapphireyard.programs.dispatcher import Dispatcher
from sapphireyard.programs.programs import Programs
from sapphireyard.programs.texts import TextService
from sapphireyard.scheduling.slots import SlotService
from sapphireyard.scheduling.upstream_states import UpstreamStates
from sapphireyard.storage.objects import ObjectStore
from sapphireyard.streams.peers import Peers
from sapphireyard.upstreams.outliers import OutlierDetector
from sapphireyard.upstreams.quarantine import QuarantineService
from sapphireyard.upstreams.retries import RetryBudget
from sapphireyard.upstreams.upstreams import Upstreams
from sapphireyard.yard import Yard

logger = logging.getLogger(__name__)

PROGRAM = "sapphireyard-entry"
DRAIN_CHECK_SECONDS = 0.05
QUIET_SECONDS = 0.5
"""Time without a request after which open connections count as unused."""


class EntryService(mode.Service):
    """An entry host from its start to its planned stop.

    Parameters
    ----------
    yard : Yard
        The process, with all services set; see `build_yard`.
    """

    def __init__(self, yard):
        super().__init__()
        self._yard = yard

    async def on_start(self):
        yard = self._yard
        await yard.peers.listen()
        await yard.gateway.listen()
        for service in (
            yard.peers,
            yard.configuration,
            yard.journal,
            yard.ownership,
            yard.upstreams,
            yard.limits,
            yard.slots,
            yard.upstream_states,
            yard.quarantine,
            yard.dispatcher,
            yard.lifetimes,
            yard.texts,
            yard.collector,
            yard.gateway,
        ):
            await self.add_runtime_dependency(service)
        yard.configuration.on_change(self._end_work_of_withdrawn_keys)

    def _end_work_of_withdrawn_keys(self, configuration):
        self._yard.gateway.cancel_requests_of_withdrawn_keys(configuration.is_withdrawn)
        self._yard.dispatcher.cancel_runs_of_withdrawn_keys(configuration.is_withdrawn)

    async def drain(self):
        """Hand over partitions, forward new calls and finish running requests."""
        yard = self._yard
        loop = asyncio.get_running_loop()
        started = loop.time()
        deadline = started + yard.settings.stop_seconds
        yard.gateway.draining = True
        handed_over = await yard.ownership.leave(timeout=yard.settings.stop_seconds)
        logger.info(
            "partitions handed over" if handed_over else "partitions not handed over"
        )
        forward_until = started + yard.settings.address_ttl_seconds
        busy_at = started
        while loop.time() < deadline:
            if yard.gateway.open_requests or yard.dispatcher.running_calls:
                busy_at = loop.time()
            if loop.time() >= forward_until or not self._has_other_members():
                await yard.gateway.close_listener()
                if loop.time() - busy_at >= QUIET_SECONDS:
                    return
            await asyncio.sleep(DRAIN_CHECK_SECONDS)
        logger.warning("%s requests are cut off", yard.gateway.open_requests)

    def _has_other_members(self):
        members = self._yard.ownership.assignment.members
        return any(host != self._yard.host for host in members)


def build_yard(settings):
    """Return a `Yard` with all services of an entry host."""
    yard = Yard(settings, ObjectStore(settings.store))
    yard.metrics = Metrics()
    observe_store(yard.store)
    yard.programs = Programs()
    yard.peers = Peers(yard)
    yard.configuration = ConfigurationService(yard)
    yard.journal = JournalService(yard)
    yard.ownership = OwnershipService(yard)
    yard.upstreams = Upstreams(yard)
    yard.limits = LimitService(yard)
    yard.slots = SlotService(yard)
    yard.quarantine = QuarantineService(yard)
    yard.retries = RetryBudget()
    yard.outliers = OutlierDetector()
    yard.upstream_states = UpstreamStates(yard)
    yard.lifetimes = LifetimeService(yard)
    yard.texts = TextService(yard)
    yard.collector = CollectorService(yard)
    yard.dispatcher = Dispatcher(yard)
    yard.gateway = Gateway(yard, add_routes=[add_routes])
    return yard


async def run(settings):
    """Run an entry host until it is asked to stop; return the exit status."""
    yard = build_yard(settings)
    service = EntryService(yard)
    return await run_service(
        service,
        yard,
        find_address=lambda: yard.gateway.address,
        drain=service.drain,
    )


def main():
    """Run the binary."""
    run_binary(run, EntrySettings, name=PROGRAM)


if __name__ == "__main__":
    main()
