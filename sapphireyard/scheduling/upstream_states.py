"""Which upstreams get nothing new because their host leaves or is gone."""

import asyncio
import logging

import mode

from sapphireyard.scheduling.capacity import UpstreamState
from sapphireyard.scheduling.host_lists import HostListError, HttpHostList
from sapphireyard.scheduling.slot_homes import LEAVING

logger = logging.getLogger(__name__)

POLL_SECONDS = 2.0
"""Seconds between two readings of the host list."""

CLEANUP_SECONDS = 60.0
"""Seconds between two looks for records that nothing uses any more."""

MIN_LEAVING_SECONDS = 5.0
"""Least time for which an upstream's own word that it leaves holds."""


class StateTracker:
    """Decides which upstreams get nothing new.

    The list lags, so an upstream that vanished from it is only suspected: it
    is out once a fresh connection to it fails too. Upstreams that were never
    listed are left alone, and a pool is never emptied.
    """

    def __init__(self):
        self._states = {}
        self._announced = {}
        self._failing = set()

    def apply_list(self, hosts, upstreams):
        """Take in a reading of the list; an empty one says nothing.

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
        """Take in which suspects did not answer a fresh connection."""
        self._failing = set(failing)

    def note_leaving(self, name, now, *, seconds):
        """Take an upstream's own word that it leaves, for some time."""
        self._announced[name] = now + max(MIN_LEAVING_SECONDS, seconds)

    def forget(self, now):
        """Drop words of upstreams that hold no more."""
        self._announced = {name: at for name, at in self._announced.items() if now < at}

    def find_unavailable(self, pool, now):
        """Return the states of the upstreams of a pool that get nothing new.

        Parameters
        ----------
        pool : PoolRow
            The pool as configured.
        now : float
            Monotonic seconds.
        """
        staying = [row.name for row in pool.upstreams if row.state != LEAVING]
        found = {name: self._unavailable_state(name, now) for name in staying}
        out = {name: state for name, state in found.items() if state is not None}
        return out if len(out) < len(staying) else {}

    def _unavailable_state(self, name, now):
        state = self._states.get(name)
        if state is UpstreamState.LEAVING or now < self._announced.get(name, now):
            return UpstreamState.LEAVING
        if state is UpstreamState.DOWN and name in self._failing:
            return state
        return None


class UpstreamStates(mode.Service):
    """Follows the host list and keeps leaving upstreams out of the placement.

    Parameters
    ----------
    yard : Yard
        The process this belongs to.
    """

    def __init__(self, yard):
        super().__init__()
        self._yard = yard
        address = yard.settings.host_list
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
        """Note that an upstream said itself that it leaves.

        Parameters
        ----------
        upstream : str
            Its name.
        seconds : float
            Time after which it may be tried again.
        """
        self._tracker.note_leaving(upstream, self._now(), seconds=seconds)
        self.apply()

    async def refresh(self):
        """Read the list, try the suspects and apply what follows."""
        if self._yard.configuration.current is None:
            return
        if self._list is not None:
            await self._read_list()
        self.apply()

    def apply(self):
        """Tell the outliers and the slot homes what changed."""
        out, leaving = {}, set()
        now = self._now()
        for pool in self._pools():
            found = self._tracker.find_unavailable(pool, now)
            out.update({(pool.name, name): state for name, state in found.items()})
            leaving.update(row.name for row in pool.upstreams if row.state == LEAVING)
        self._yard.outliers.set_leaving(leaving | {name for _, name in out})
        for key in sorted(self._unavailable.keys() | out.keys()):
            self._set_state(key, out.get(key, UpstreamState.UP))
        self._unavailable = out

    def forget(self):
        """Drop records of upstreams and routes that nothing uses any more."""
        now = self._now()
        self._tracker.forget(now)
        self._yard.outliers.forget_idle(now)
        self._yard.retries.forget_idle(now)

    def _set_state(self, key, state):
        if self._unavailable.get(key, UpstreamState.UP) is state:
            return
        pool, name = key
        self._yard.slots.set_state(pool, name, state)
        logger.info(
            "upstream state changed",
            extra={"pool": pool, "upstream": name, "state": state.value},
        )

    async def _read_list(self):
        rows = [row for pool in self._pools() for row in pool.upstreams]
        try:
            self._tracker.apply_list(await self._list.read(), rows)
        except HostListError as error:
            logger.info("the host list is out, its last word stays: %s", error)
        suspects = [row for row in rows if row.name in self._tracker.suspects]
        answers = await asyncio.gather(
            *(self._yard.upstreams.probe(row.address) for row in suspects)
        )
        pairs = zip(suspects, answers)
        self._tracker.apply_probes(row.name for row, ok in pairs if not ok)

    def _pools(self):
        return self._yard.configuration.current.pools.values()

    def _now(self):
        return self._yard.clock.monotonic()


def _listed_state(hosts, upstream):
    """Return what the list says of an upstream, or None."""
    listed = [host for host in hosts if host.runs(upstream)]
    if not listed:
        return None
    leaving = any(host.state == LEAVING for host in listed)
    return UpstreamState.LEAVING if leaving else UpstreamState.UP
