"""Which upstreams get no new requests because their host leaves or is gone."""

import asyncio
import logging

import mode

from sapphireyard.scheduling.capacity import UpstreamState
from sapphireyard.scheduling.host_lists import HostListError, HttpHostList
from sapphireyard.scheduling.slot_homes import LEAVING

logger = logging.getLogger(__name__)

POLL_SECONDS = 2.0
"""Interval between reads of the host list."""

CLEANUP_SECONDS = 60.0
"""Interval of the removal of unused records."""

MIN_LEAVING_SECONDS = 5.0
"""Minimum time for which an upstream's announcement that it leaves is valid."""


class StateTracker:
    """Decides which upstreams get no new requests.

    The host list lags, so an upstream that vanished from it is only suspected:
    it counts as down once a fresh connection to it fails too. Upstreams that
    were never listed are not affected, and a pool never loses all upstreams.
    """

    def __init__(self):
        self._states = {}
        self._announced = {}
        self._failing = set()

    def apply_list(self, hosts, upstreams):
        """Apply a reading of the host list; an empty one is ignored.

        Parameters
        ----------
        hosts : list of ListedHost
            The rows.
        upstreams : iterable of UpstreamRow
            All configured upstreams.
        """
        if not hosts:
            return
        known = {}
        for upstream in upstreams:
            state = _listed_state(hosts, upstream)
            if state is None and upstream.name in self._states:
                state = UpstreamState.DOWN
            if state is not None:
                known[upstream.name] = state
        self._states = known

    @property
    def suspects(self):
        """set of str: Upstreams that vanished from the list."""
        down = UpstreamState.DOWN
        return {name for name, state in self._states.items() if state is down}

    def apply_probes(self, failing):
        """Record which suspects did not answer on a fresh connection."""
        self._failing = set(failing)

    def note_leaving(self, name, now, *, seconds):
        """Record an upstream's announcement that it leaves.

        It is valid for `seconds`, but at least for `MIN_LEAVING_SECONDS`.
        """
        self._announced[name] = now + max(MIN_LEAVING_SECONDS, seconds)

    def forget(self, now):
        """Drop expired announcements of upstreams."""
        self._announced = {name: at for name, at in self._announced.items() if now < at}

    def find_unavailable(self, pool, now):
        """Return the states of the upstreams of a pool that get no new requests.

        Upstreams configured as leaving are left out. The result is empty when
        it would otherwise contain all remaining upstreams of the pool.

        Parameters
        ----------
        pool : PoolRow
            The pool as configured.
        now : float
            Monotonic seconds.
        """
        candidates = [row.name for row in pool.upstreams if row.state != LEAVING]
        found = {name: self._unavailable_state(name, now) for name in candidates}
        unavailable = {
            name: state for name, state in found.items() if state is not None
        }
        return unavailable if len(unavailable) < len(candidates) else {}

    def _unavailable_state(self, name, now):
        state = self._states.get(name)
        if state is UpstreamState.LEAVING or now < self._announced.get(name, now):
            return UpstreamState.LEAVING
        if state is UpstreamState.DOWN and name in self._failing:
            return state
        return None


class UpstreamStates(mode.Service):
    """Polls the host list and excludes leaving upstreams from placement.

    Parameters
    ----------
    runtime : Runtime
        Runtime of the process this belongs to.
    """

    def __init__(self, runtime):
        super().__init__()
        self._runtime = runtime
        address = runtime.settings.host_list
        self._list = HttpHostList(address) if address else None
        self._tracker = StateTracker()
        self._unavailable = {}

    @mode.Service.task
    async def _poll_host_list(self):
        while not self.should_stop:
            await self.refresh()
            await self.sleep(POLL_SECONDS)

    @mode.Service.task
    async def _clean_up(self):
        while not self.should_stop:
            await self.sleep(CLEANUP_SECONDS)
            self.forget()

    def note_leaving(self, upstream, *, seconds):
        """Record that an upstream announced that it leaves.

        Parameters
        ----------
        upstream : str
            Name of the upstream.
        seconds : float
            Time after which the upstream may be tried again.
        """
        self._tracker.note_leaving(upstream, self._now(), seconds=seconds)
        self.apply()

    async def refresh(self):
        """Read the host list, probe the suspects and apply the result."""
        if self._runtime.configuration.current is None:
            return
        if self._list is not None:
            await self._read_list()
        self.apply()

    def apply(self):
        """Pass changed states to the outlier detection and the slot homes."""
        unavailable, leaving = {}, set()
        now = self._now()
        for pool in self._pools():
            found = self._tracker.find_unavailable(pool, now)
            unavailable.update(
                {(pool.name, name): state for name, state in found.items()}
            )
            leaving.update(row.name for row in pool.upstreams if row.state == LEAVING)
        self._runtime.outliers.set_leaving(leaving | {name for _, name in unavailable})
        for key in sorted(self._unavailable.keys() | unavailable.keys()):
            self._set_state(key, unavailable.get(key, UpstreamState.UP))
        self._unavailable = unavailable

    def forget(self):
        """Drop unused records of upstreams and routes."""
        now = self._now()
        self._tracker.forget(now)
        self._runtime.outliers.forget_idle(now)
        self._runtime.retries.forget_idle(now)

    def _set_state(self, key, state):
        if self._unavailable.get(key, UpstreamState.UP) is state:
            return
        pool, name = key
        self._runtime.slots.set_state(pool, name, state)
        logger.info(
            "upstream state changed",
            extra={"pool": pool, "upstream": name, "state": state.value},
        )

    async def _read_list(self):
        rows = [row for pool in self._pools() for row in pool.upstreams]
        try:
            self._tracker.apply_list(await self._list.read(), rows)
        except HostListError as error:
            logger.info(
                "reading the host list failed; keeping the last states: %s", error
            )
        suspects = [row for row in rows if row.name in self._tracker.suspects]
        answers = await asyncio.gather(
            *(self._runtime.upstreams.probe(row.address) for row in suspects)
        )
        pairs = zip(suspects, answers)
        self._tracker.apply_probes(row.name for row, ok in pairs if not ok)

    def _pools(self):
        return self._runtime.configuration.current.pools.values()

    def _now(self):
        return self._runtime.clock.monotonic()


def _listed_state(hosts, upstream):
    """Return the state of an upstream in the host list, or None if not listed."""
    listed = [host for host in hosts if host.runs(upstream)]
    if not listed:
        return None
    leaving = any(host.state == LEAVING for host in listed)
    return UpstreamState.LEAVING if leaving else UpstreamState.UP
