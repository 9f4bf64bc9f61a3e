"""Prefixes held by the upstreams of a group, and the cost of moving a program."""

from sapphireyard.scheduling.prefixes import PrefixRecord


class Placement:
    """Tracks which upstream holds a program's prefix, and what a move costs.

    Parameters
    ----------
    min_prefix : int, optional
        Tokens below which a prefix is not worth waiting for.
    keep_seconds : float, optional
        Idle time after which the memory of a prefix counts as free.
    """

    def __init__(self, *, min_prefix=64, keep_seconds=float("inf")):
        self._min_prefix = min_prefix
        self._keep_seconds = keep_seconds
        self._records = {}

    def add(self, limits):
        """Add an upstream."""
        self._records[limits.name] = PrefixRecord(
            limits.kv_tokens, keep_seconds=self._keep_seconds
        )

    def remove(self, name):
        """Remove an upstream."""
        self._records.pop(name, None)

    def record(self, name):
        """Return the `PrefixRecord` of an upstream."""
        return self._records[name]

    def holder(self, program, names):
        """Return the upstream among `names` that holds most of a program's prefix.

        Returns
        -------
        str or None
            None when none holds at least the minimum prefix.
        """
        best = max(names, key=lambda name: self._tokens(name, program), default=None)
        if best is None or self._tokens(best, program) < self._min_prefix:
            return None
        return best

    def cached(self, name, request):
        """Return the prefix tokens of a request that are cached on `name`."""
        return min(self._tokens(name, request.program), request.prefix_tokens)

    def move_seconds(self, request, limits, source):
        """Return the seconds to prefill again what a move from `source` loses."""
        held = self.cached(source, request)
        tokens = max(0, held - self.cached(limits.name, request))
        return tokens / limits.prefill_rate

    def end(self, program):
        """Drop an ended program; return the upstreams that held its prefix."""
        records = self._records.items()
        return [name for name, record in records if record.drop(program) > 0]

    def _tokens(self, name, program):
        record = self._records.get(name)
        return record.tokens(program) if record else 0
