"""Which upstreams this host can open connections to."""

import logging
import random
from dataclasses import dataclass

logger = logging.getLogger(__name__)

SILENCE_SECONDS = 0.3
"""Time without a byte from an upstream that owes an answer after which its link is
probed. It is no failure: the upstream may be busy, or pause."""
PROBE_SECONDS = 0.5
"""Interval between probes; that of a link that is down doubles with each."""
MAX_PROBE_SECONDS = 2.0
SAMPLE_LINKS = 4
"""Links that are probed at a time to find out how many are down. If so many have gone
down and none was found up since, the host is isolated."""
ISOLATION_SECONDS = 0.3
"""Age of the first of these failures: by then probes of other links have answered."""
RETURN_SECONDS = 1.0
"""Time for which a host that was isolated is still avoided by callers."""


@dataclass
class _Link:
    """What is known of the link to one upstream.

    `connected_at` is the start of the newest attempt to connect that succeeded.
    """

    started_at: float
    down: bool = False
    connected_at: float = float("-inf")
    heard_at: float = float("-inf")
    probed_at: float = float("-inf")
    probe_seconds: float = PROBE_SECONDS
    due: bool = False
    pending: int = 0

    def is_due(self, now):
        """Return whether the link is to be probed for what is known of it alone."""
        if self.due:
            return True
        if self.down:
            return now - self.probed_at >= self.probe_seconds
        if not self.pending or now - self.heard_at < SILENCE_SECONDS:
            return False
        return now - self.probed_at >= PROBE_SECONDS

    def note_probe(self, now):
        """Record that a probe begins."""
        self.due = False
        self.probed_at = now
        if self.down:
            self.probe_seconds = min(2 * self.probe_seconds, MAX_PROBE_SECONDS)


class Links:
    """Tells links that are down from upstreams that fail.

    Handles two load patterns: a host that is cut off from all upstreams, or from some
    of them, while it gets few requests; and an upstream that pauses. Only attempts to
    connect decide, since connections may live on while new ones are refused. A single
    failure makes other links be probed, a few at a time and only while these fail too,
    so that the cost does not grow with the number of upstreams.
    """

    def __init__(self, *, seed=None):
        self._links = {}
        self._random = random.Random(seed)
        self._suspects = {}
        self._suspected_from = float("inf")
        self._isolated = False
        self._isolated_at = float("-inf")
        self._returned_at = float("-inf")
        self._probed_at = float("-inf")

    @property
    def isolated(self):
        """bool: Whether no upstream can be reached."""
        return self._isolated

    @property
    def down(self):
        """list of str: Upstreams whose links are down, sorted."""
        return sorted(name for name, link in self._links.items() if link.down)

    def is_avoided(self, now):
        """Return whether the host is isolated, or was a moment ago."""
        return self._isolated or now - self._returned_at < RETURN_SECONDS

    def is_up(self, upstream):
        """Return whether connections to an upstream may be expected to work."""
        link = self._links.get(upstream)
        return not self._isolated and (link is None or not link.down)

    def set_upstreams(self, started):
        """Replace the known upstreams.

        Parameters
        ----------
        started : dict of str to float
            Start time of each upstream; a new one forgets what was known of its link.
        """
        for name, link in list(self._links.items()):
            if started.get(name) != link.started_at:
                del self._links[name]
                self._suspects.pop(name, None)
        for name, started_at in started.items():
            if name not in self._links:
                self._links[name] = _Link(started_at)
        if not self._suspects:
            self._suspected_from = float("inf")

    def note_pending(self, upstream, change, now):
        """Record that an upstream owes one more answer, or one less."""
        link = self._links.get(upstream)
        if link is None:
            return
        if not link.pending:
            link.heard_at = now
        link.pending = max(0, link.pending + change)

    def note_heard(self, upstream, now):
        """Record that bytes of an upstream have arrived."""
        link = self._links.get(upstream)
        if link is not None:
            link.heard_at = now

    def note_broken(self, upstream):
        """Record that a connection broke, so that the link is probed at once."""
        link = self._links.get(upstream)
        if link is not None and not link.down:
            link.due = True

    def note_connected(self, upstream, tried_at, now):
        """Record an attempt to connect, begun at `tried_at`, that succeeded."""
        link = self._links.get(upstream)
        if link is None:
            return
        link.connected_at = max(link.connected_at, tried_at)
        link.heard_at = now
        if tried_at >= self._suspected_from or self._isolated:
            self._clear_suspicion(now)
        if link.down:
            link.down = False
            link.probe_seconds = PROBE_SECONDS
            self._log_link(upstream, "up", now)

    def note_failed(self, upstream, tried_at, now, *, reason=""):
        """Record an attempt to connect, begun at `tried_at`, that failed."""
        link = self._links.get(upstream)
        if link is None or link.down or tried_at < link.connected_at:
            return
        link.down = True
        link.probed_at = now
        self._suspected_from = min(self._suspected_from, tried_at)
        self._suspects[upstream] = now
        self._log_link(upstream, "down", now, reason=reason)

    def choose_probes(self, now):
        """Return the upstreams to which a connection is to be opened now, as a probe.

        Links that are down are probed again and again, and those of upstreams that are
        silent; others while the links that were tried last are down.
        """
        self._update_isolation(now)
        chosen = [name for name, link in self._links.items() if link.is_due(now)]
        if self._isolated:
            if now - self._probed_at < PROBE_SECONDS:
                return []
            chosen = self._pick(self._links)
        elif self._suspects:
            chosen += self._pick(
                name
                for name, link in self._links.items()
                if not link.down and link.probed_at < self._suspected_from
            )
        chosen = list(dict.fromkeys(chosen))
        for name in chosen:
            self._links[name].note_probe(now)
        self._probed_at = now
        return chosen

    def _update_isolation(self, now):
        """Conclude that the host is isolated if all links that were tried are down."""
        if self._isolated or not self._suspects:
            return
        all_down = all(link.down for link in self._links.values())
        if len(self._suspects) < SAMPLE_LINKS and not all_down:
            return
        if now - min(self._suspects.values()) < ISOLATION_SECONDS:
            return
        self._isolated = True
        self._isolated_at = now
        logger.warning(
            "host reaches no upstream",
            extra={
                "decision": "isolation",
                "isolated": True,
                "tried": sorted(self._suspects),
                "upstreams": len(self._links),
            },
        )

    def _clear_suspicion(self, now):
        """Record that the host reaches upstreams: links are judged one by one."""
        self._suspects = {}
        self._suspected_from = float("inf")
        if not self._isolated:
            return
        self._isolated = False
        self._returned_at = now
        for link in self._links.values():
            link.due = link.down
        logger.info(
            "host reaches upstreams again",
            extra={
                "decision": "isolation",
                "isolated": False,
                "seconds": round(now - self._isolated_at, 2),
                "down": self.down,
            },
        )

    def _pick(self, names):
        names = list(names)
        return self._random.sample(names, min(SAMPLE_LINKS, len(names)))

    @staticmethod
    def _log_link(upstream, state, now, **fields):
        logger.info(
            "upstream link",
            extra={"decision": "link", "upstream": upstream, "state": state, **fields},
        )
