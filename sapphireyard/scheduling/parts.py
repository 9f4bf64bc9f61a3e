"""Parts of prompts that engines keep in memory, as far as this host knows.

A prompt consists of parts, and an engine that has read a part need not read it again
while it keeps it and all parts before it. Hosts learn what engines keep from the
requests that they send, and tell each other about these.
"""

from collections import OrderedDict, deque
from functools import lru_cache
from itertools import islice

from sapphireyard._hashing import hash_text

MAX_KEPT_PARTS = 10_000
"""Parts known over all engines, some 500 bytes each."""
MAX_REPORTED_PARTS = 64
"""Parts in one report, some 8 bytes each."""
REPORT_SECONDS = 0.9
"""Time for which a part is reported: two of the longest intervals of heartbeats."""
DIGEST_MASK = 0xFFFF_FFFF


@lru_cache(maxsize=1024)
def digest_parts(parts):
    """Return the digest and the tokens of each part of a prompt."""
    return tuple((hash_text(part) & DIGEST_MASK, tokens) for part, tokens in parts)


class KeptParts:
    """Which engines keep which parts of prompts.

    Handles the load pattern of many programs that share the starts of their prompts
    and come back to any host: without it, each engine reads all starts, and a program
    that continues on another host is read from its first token.

    Least recently used parts yield when an engine's memory is full. A part that an
    engine keeps stands for all parts before it, which it read not later, and which are
    used at least as often. What a host knows may be wrong: a request was refused, a
    report was lost, other requests have displaced a part. Then a prompt is read again,
    which costs time but no correctness.
    """

    def __init__(self):
        self._capacity = {}
        self._kept = {}
        self._totals = {}
        self._holders = {}
        self._order = OrderedDict()
        self._sent = deque()
        self._last_found = None, {}

    def add(self, name, kv_tokens):
        """Add an engine with memory for `kv_tokens`, or change its memory."""
        if not kv_tokens:
            return
        self._capacity[name] = kv_tokens
        if name not in self._kept:
            self._kept[name] = OrderedDict()
            self._totals[name] = 0
        self._trim(name)

    def remove(self, name):
        """Forget an engine, because it has restarted or is gone."""
        self._last_found = None, {}
        for digest in self._kept.pop(name, ()):
            self._drop_holder(name, digest)
        self._totals.pop(name, None)
        self._capacity.pop(name, None)

    def find(self, parts):
        """Return the tokens at the start of a prompt that each engine keeps.

        Parameters
        ----------
        parts : tuple of (str, int)
            Id and tokens of each part of the prompt, in order.

        Returns
        -------
        dict of str to int
            By engine; those that keep nothing of the prompt are missing. Not to be
            changed.
        """
        found_for, found = self._last_found
        if found_for is parts:
            return found
        found = {}
        before = sum(tokens for _, tokens in parts)
        for digest, tokens in reversed(digest_parts(parts)):
            before -= tokens
            for name in self._holders.get(digest, ()):
                if name not in found:
                    found[name] = before + min(tokens, self._kept[name][digest])
        self._last_found = parts, found
        return found

    def note_sent(self, name, parts, now):
        """Record that this host sends a request to an engine, which reads its prompt.

        Parts that the engine had not kept are reported to other hosts.
        """
        if name not in self._kept or not parts:
            return
        kept = self._kept[name]
        digests = digest_parts(parts)
        last = digests[-1][0]
        new = [
            (digest, tokens)
            for digest, tokens in digests
            if digest == last or kept.get(digest, 0) < tokens
        ]
        self._keep(name, digests)
        self._sent.append((now, name, new))

    def report(self, now):
        """Return what other hosts should learn: digest and tokens by turns, by engine.

        The newest parts come first; what exceeds the bound is left out.
        """
        while self._sent and now - self._sent[0][0] > REPORT_SECONDS:
            self._sent.popleft()
        reported = {}
        count = 0
        for _, name, parts in islice(reversed(self._sent), MAX_REPORTED_PARTS):
            count += len(parts)
            if count > MAX_REPORTED_PARTS:
                break
            numbers = reported.setdefault(name, [])
            for digest, tokens in parts:
                numbers += (digest, tokens)
        return reported

    def merge(self, reported):
        """Record what another host reported."""
        for name, numbers in reported.items():
            if name in self._kept:
                self._keep(name, tuple(zip(numbers[::2], numbers[1::2])))

    def _keep(self, name, parts):
        """Record parts as used now, the last one first: it is to yield first."""
        kept = self._kept[name]
        self._last_found = None, {}
        for digest, tokens in reversed(parts):
            if tokens <= 0:
                continue
            known = kept.get(digest, 0)
            if not known:
                self._holders.setdefault(digest, set()).add(name)
            if tokens > known:
                self._totals[name] += tokens - known
                kept[digest] = tokens
            kept.move_to_end(digest)
            self._order[name, digest] = None
            self._order.move_to_end((name, digest))
        self._trim(name)
        while len(self._order) > MAX_KEPT_PARTS:
            oldest, digest = next(iter(self._order))
            self._yield(oldest, digest)

    def _trim(self, name):
        kept = self._kept[name]
        self._last_found = None, {}
        while self._totals[name] > self._capacity[name]:
            self._yield(name, next(iter(kept)))

    def _yield(self, name, digest):
        self._totals[name] -= self._kept[name].pop(digest)
        self._drop_holder(name, digest)

    def _drop_holder(self, name, digest):
        del self._order[name, digest]
        holders = self._holders[digest]
        holders.discard(name)
        if not holders:
            del self._holders[digest]
