"""What the upstreams of a group hold, and what moving a program costs."""

from sapphireyard.scheduling.prefixes import PrefixRecord


class Placement:
    """Which upstream holds a program's prefix, and whether leaving it pays.

    Parameters
    ----------
    min_prefix : int, optional
        Tokens below which a prefix is not worth waiting for.
    keep_seconds : float, optional
        Pause after which the memory of a prefix counts as free.
    """

    def __init__(self, *, min_prefix=64, keep_seconds=float("inf")):
        self._min_prefix = min_prefix
        self._keep_seconds = keep_seconds
        self._records = {}

    def add(self, limits):
        """Follow one more upstream."""
        self._records[limits.name] = PrefixRecord(
            limits.kv_tokens, keep_seconds=self._keep_seconds
        )

    def remove(self, name):
        """Forget an upstream."""
        self._records.pop(name, None)

    def record(self, name):
        """Return the `PrefixRecord` of an upstream."""
        return self._records[name]

    def holder(self, program, names):
        """Return the upstream among `names` that holds most of a program.

        Returns
        -------
        str or None
            None when no upstream holds enough of it.
        """
        best = max(names, key=lambda name: self._tokens(name, program), default=None)
        if best is None or self._tokens(best, program) < self._min_prefix:
            return None
        return best

    def cached(self, name, request):
        """Return the tokens of a request that `name` need not prefill."""
        return min(self._tokens(name, request.program), request.prefix_tokens)

    def move_seconds(self, request, limits, source):
        """Return the time to prefill again what a request leaves at `source`."""
        held = self.cached(source, request)
        tokens = max(0, held - self.cached(limits.name, request))
        return tokens / limits.prefill_rate

    def end(self, program):
        """Forget an ended program; return the upstreams that held it."""
        records = self._records.items()
        return [name for name, record in records if record.drop(program) > 0]

    def _tokens(self, name, program):
        record = self._records.get(name)
        return record.tokens(program) if record else 0
