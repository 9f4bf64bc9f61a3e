"""Detection of requests that crash upstreams.

Every request in flight on an upstream that crashes becomes a suspect. Suspects
run isolated from each other. A suspect that completes is cleared; one whose
upstream crashes again while it runs isolated is quarantined.
"""

from collections import OrderedDict
from dataclasses import dataclass
from hashlib import blake2b

SUSPECT_SECONDS = 600.0
"""Time without a crash after which a suspect is dropped."""
QUARANTINE_SECONDS = 24 * 3600.0
ABANDONED_SECONDS = 2.0
"""Time for which an abandoned request still counts as in flight.

A request is abandoned when its run ends without a complete answer although its
upstream did not crash, such as on a cancellation or time-out.
"""
MAX_ENTRIES = 10_000
"""Most suspects and most quarantined requests kept."""
DIGEST_BYTES = 16


def digest_chain(digests):
    """Return the digest of a request and the turns before it, as hexadecimal text.

    The customer is not part of it: content that crashes upstreams does so
    whoever sends it, and each further customer that sent it would crash two
    more upstreams. A customer can only get another's request quarantined by sending
    content that does crash upstreams. Answers are not part of it either, since
    they differ when a program is repeated.

    Parameters
    ----------
    digests : list of str
        Digests of the route and body of each turn, the request's own last.
    """
    if len(digests) == 1:
        return digests[0]
    text = "\n".join(digests)
    return blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()


@dataclass
class _InFlight:
    """The runs of one request on one upstream, and when the last was abandoned."""

    running: int = 0
    is_isolated_suspect: bool = False
    abandoned_at: float = float("-inf")


@dataclass(frozen=True)
class Verdict:
    """How an event changed the state of one request.

    Parameters
    ----------
    digest : str
        Digest of the request.
    upstream : str
        The upstream on which it ran.
    suspected, cleared, quarantined : bool
        Whether the request became a suspect, was cleared or was quarantined.
    """

    digest: str
    upstream: str
    suspected: bool = False
    cleared: bool = False
    quarantined: bool = False


class Quarantine:
    """Decides which requests are suspects and which are quarantined.

    Parameters
    ----------
    suspect_seconds, quarantine_seconds : float, optional
        Lifetime of an entry.
    entry_limit : int, optional
        Most entries of each kind; the oldest are dropped first.
    """

    def __init__(
        self,
        *,
        suspect_seconds=SUSPECT_SECONDS,
        quarantine_seconds=QUARANTINE_SECONDS,
        entry_limit=MAX_ENTRIES,
    ):
        self._suspect_seconds = suspect_seconds
        self._quarantine_seconds = quarantine_seconds
        self._entry_limit = entry_limit
        self._suspects = OrderedDict()
        self._quarantined = OrderedDict()
        self._in_flight = {}

    def is_quarantined(self, digest, now):
        """Return whether a request must not run."""
        return now < self._quarantined.get(digest, float("-inf"))

    def is_suspect(self, digest, now):
        """Return whether a request must run isolated from other suspects."""
        return now < self._suspects.get(digest, float("-inf"))

    def suspects(self, now):
        """Return the digests of the suspects."""
        return [digest for digest, until in self._suspects.items() if now < until]

    def quarantined(self, now):
        """Return the seconds left for each quarantined digest."""
        return {
            digest: until - now
            for digest, until in self._quarantined.items()
            if now < until
        }

    def note_start(self, digest, upstream, now, *, isolated=False):
        """Record that a request is about to be sent to an upstream.

        Parameters
        ----------
        digest, upstream : str
            Which request is to run on which upstream.
        now : float
            Monotonic seconds.
        isolated : bool, optional
            Whether no other suspect runs meanwhile, so that a crash leads to
            quarantine.
        """
        flights = self._in_flight.setdefault(upstream, {})
        flight = flights.setdefault(digest, _InFlight())
        flight.running += 1
        flight.is_isolated_suspect = isolated and self.is_suspect(digest, now)

    def note_end(self, digest, upstream, now, *, crashed, completed=False):
        """Record the end of a run; return the resulting `Verdict` objects.

        Parameters
        ----------
        digest, upstream : str
            Which request ran on which upstream.
        now : float
            Monotonic seconds.
        crashed : bool
            Whether the upstream crashed while the request was in flight.
        completed : bool, optional
            Whether the complete answer arrived. A run that neither crashed nor
            completed counts as abandoned.
        """
        flight = self._in_flight.get(upstream, {}).get(digest)
        if flight is None:
            return []
        flight.running -= 1
        if crashed:
            return self._handle_crash(upstream, digest, now)
        if completed:
            self._remove_in_flight(upstream, digest)
            return self._clear(digest, upstream)
        flight.abandoned_at = now
        return []

    def suspect(self, digest, now):
        """Mark a request as a suspect."""
        self._put(self._suspects, digest, now + self._suspect_seconds)

    def clear(self, digest):
        """Remove a request from the suspects."""
        self._suspects.pop(digest, None)

    def quarantine(self, digest, now, *, seconds=None):
        """Put a request in quarantine."""
        seconds = self._quarantine_seconds if seconds is None else seconds
        self._put(self._quarantined, digest, now + seconds)
        self.clear(digest)

    def release(self, digest):
        """Remove a request from the quarantine and the suspects."""
        self._quarantined.pop(digest, None)
        self.clear(digest)

    def forget_expired(self, now):
        """Drop expired entries."""
        for entries in (self._suspects, self._quarantined):
            for digest in [d for d, until in entries.items() if until <= now]:
                del entries[digest]
        for upstream in list(self._in_flight):
            self._forget_abandoned(upstream, now)

    def _handle_crash(self, upstream, digest, now):
        """Judge a request whose upstream crashed, and those abandoned recently.

        An abandoned request may still have been running on the upstream, so it
        becomes a suspect; but it may as well have ended, so it is not
        quarantined.
        """
        verdicts = [self._judge_request(upstream, digest, now)]
        for other, flight in self._in_flight.get(upstream, {}).items():
            recent = now - flight.abandoned_at <= ABANDONED_SECONDS
            if other != digest and not flight.running and recent:
                self.suspect(other, now)
                verdicts.append(Verdict(other, upstream, suspected=True))
        return verdicts

    def _judge_request(self, upstream, digest, now):
        flight = self._in_flight[upstream][digest]
        if flight.running <= 0:
            self._remove_in_flight(upstream, digest)
        if self.is_quarantined(digest, now):
            return Verdict(digest, upstream)
        if flight.is_isolated_suspect and self.is_suspect(digest, now):
            self.quarantine(digest, now)
            return Verdict(digest, upstream, quarantined=True)
        self.suspect(digest, now)
        return Verdict(digest, upstream, suspected=True)

    def _clear(self, digest, upstream):
        if digest not in self._suspects:
            return []
        self.clear(digest)
        return [Verdict(digest, upstream, cleared=True)]

    def _remove_in_flight(self, upstream, digest):
        flights = self._in_flight[upstream]
        if flights[digest].running <= 0:
            del flights[digest]
        if not flights:
            del self._in_flight[upstream]

    def _forget_abandoned(self, upstream, now):
        flights = self._in_flight[upstream]
        for digest, flight in list(flights.items()):
            if not flight.running and now - flight.abandoned_at > ABANDONED_SECONDS:
                del flights[digest]
        if not flights:
            del self._in_flight[upstream]

    def _put(self, entries, digest, until):
        entries.pop(digest, None)
        entries[digest] = until
        while len(entries) > self._entry_limit:
            entries.popitem(last=False)
