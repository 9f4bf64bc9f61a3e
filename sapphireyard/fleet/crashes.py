"""Requests that crash the upstreams that run them, as known to all entry hosts.

A crash has the same id for all requests that were in flight, and on all hosts that
observe it. Heartbeats carry the ids, so that all hosts count the same crashes, and a
restarted host learns of them from the others.
"""

import time
from collections import OrderedDict
from dataclasses import dataclass
from hashlib import blake2b

from sapphireyard.fleet.membership import ENTRY

DIGEST_BYTES = 8
CRASH_ID_BYTES = 6
"""Long enough that the ids of one request's crashes do not collide."""
UNKNOWN_RUN_SECONDS = 10.0
"""Time in which the failures of an upstream whose start time is unknown are one crash.
Observers on both sides of a boundary count two, which bar nothing."""
CRASHES_TO_BAR = 3
"""Crashes after which a request is barred: one or two upstreams may have failed for
another reason while they ran it."""
FIRST_BAR_SECONDS = 60.0
"""Time for which the third crash bars a request. It is short because three upstreams
may have failed while they ran the request by chance."""
BAR_GROWTH = 4.0
"""Each further crash bars the request four times as long: the tenth upstream is lost
after 40 h at the earliest."""
MAX_CRASHES = 8
"""Crashes counted for one request: it is then barred for 17 h."""
RETENTION_SECONDS = 120.0
"""Time for which a request that is not barred is remembered after a crash."""
MAX_REQUESTS = 1000
"""Requests remembered; those with the oldest last crash are dropped first."""
MAX_REPORTED = 32
"""Requests in one heartbeat, those with the newest crashes: some 1 kB."""


def digest_request(customer, path, body, *, previous_turn=""):
    """Return the digest that identifies repeats of a request, in hexadecimal.

    Turns that continue different ones are different requests, whatever their input:
    upstreams get the whole chain.
    """
    digest = blake2b(digest_size=DIGEST_BYTES)
    for part in (customer.encode(), path.encode(), previous_turn.encode()):
        digest.update(part)
        digest.update(b"\0")
    digest.update(body)
    return digest.hexdigest()


def identify_crash(upstream, started_at, *, wall_time=time.time):
    """Return the id of the crash that ended a run of an upstream.

    Parameters
    ----------
    upstream : str
        Name of the upstream.
    started_at : float
        Start time of the run; 0 if it is unknown.
    wall_time : callable, optional
        Returns the seconds since the epoch.
    """
    run = f"{started_at:.0f}"
    if not started_at:
        run = f"unknown {wall_time() // UNKNOWN_RUN_SECONDS:.0f}"
    digest = blake2b(f"{upstream} {run}".encode(), digest_size=CRASH_ID_BYTES)
    return int.from_bytes(digest.digest())


@dataclass
class _CrashRecord:
    """The crashes of one request, and the time of the last one."""

    crashes: frozenset
    last_at: float

    @property
    def bar_seconds(self):
        """float: Time after the last crash for which the request must not run."""
        further = len(self.crashes) - CRASHES_TO_BAR
        return FIRST_BAR_SECONDS * BAR_GROWTH**further if further >= 0 else 0.0

    def is_expired(self, now):
        """Return whether the crashes are too old to count."""
        return now >= self.last_at + self.bar_seconds + RETENTION_SECONDS


class CrashLedger:
    """Decides which requests have crashed too many upstreams to run again.

    Handles one load pattern: callers repeat a request at all hosts, and each run
    takes down an upstream, with all that it runs, for seconds.
    """

    def __init__(self):
        self._records = OrderedDict()
        self._cleared = OrderedDict()

    def __bool__(self):
        return bool(self._records)

    def record_crash(self, digest, crash, now):
        """Record a crash.

        Parameters
        ----------
        digest : str
            Digest of the request that was running.
        crash : int
            Id of this crash, as from `identify_crash`.
        now : float
            Monotonic seconds.

        Returns
        -------
        int
            Known crashes of the request since it was completed last.
        """
        self._add(digest, {crash}, now, now)
        record = self._records.get(digest)
        return len(record.crashes) if record else 0

    def clear(self, digest, now):
        """Forget the crashes of a request that has been completed."""
        record = self._records.pop(digest, None)
        if record is None:
            return
        known = self._cleared.pop(digest, _CrashRecord(frozenset(), now))
        self._cleared[digest] = _CrashRecord(known.crashes | record.crashes, now)

    def forget(self, digest):
        """Drop a request's crashes, until they are reported again."""
        self._records.pop(digest, None)

    def barred_for(self, digest, now):
        """Return the seconds for which a request must not run; 0 if it may."""
        record = self._records.get(digest)
        if record is None:
            return 0.0
        return max(0.0, record.last_at + record.bar_seconds - now)

    def summarize(self, now):
        """Return the crashes to report in a heartbeat.

        Returns
        -------
        dict of str to list of int
            By digest: seconds since the last crash, then the ids of the crashes.
        """
        self._drop_expired(now)
        newest = sorted(self._records.items(), key=lambda item: -item[1].last_at)
        return {
            digest: [int(now - record.last_at), *sorted(record.crashes)]
            for digest, record in newest[:MAX_REPORTED]
        }

    def merge(self, summary, now):
        """Merge the crashes that another host reported."""
        for digest, (age, *crashes) in summary.items():
            self._add(digest, crashes, now - age, now)

    def _add(self, digest, crashes, last_at, now):
        cleared = self._cleared.get(digest)
        new = set(crashes) - (cleared.crashes if cleared else frozenset())
        known = self._records.get(digest)
        if known is not None:
            if new <= known.crashes:
                return
            last_at = max(last_at, known.last_at)
            new |= known.crashes
        if not new:
            return
        record = _CrashRecord(frozenset(sorted(new)[:MAX_CRASHES]), last_at)
        if record.is_expired(now):
            return
        self._records[digest] = record
        self._records.move_to_end(digest)
        while len(self._records) > MAX_REQUESTS:
            self._records.popitem(last=False)

    def _drop_expired(self, now):
        for records in (self._records, self._cleared):
            for digest, record in list(records.items()):
                if record.is_expired(now):
                    del records[digest]


class CrashMemory:
    """The crashes that entry hosts report, for when all of them restart at once.

    A request that its hosts report no longer has been completed, or its crashes are
    too old: it is forgotten once no run of an entry host that has reported it still
    does. A host that stops reporting because it stopped forgets nothing here.
    """

    def __init__(self):
        self._ledger = CrashLedger()
        self._reports = {}

    def note_report(self, heartbeat, now):
        """Take over the crashes in a heartbeat.

        Other hosts only repeat what entry hosts report, also after these stopped.
        """
        if heartbeat.role != ENTRY:
            return
        incarnation, before = self._reports.get(heartbeat.host, (0, frozenset()))
        reported = frozenset(heartbeat.crashes)
        if not (reported or before):
            return
        self._reports[heartbeat.host] = heartbeat.incarnation, reported
        self._ledger.merge(heartbeat.crashes, now)
        if heartbeat.incarnation != incarnation:
            return
        for digest in before - reported:
            if not any(digest in each for _, each in self._reports.values()):
                self._ledger.forget(digest)

    def summarize(self, now):
        """Return the crashes to report in a heartbeat, as `CrashLedger` does."""
        return self._ledger.summarize(now)
