"""What the upstreams of a group hold, and what moving a program costs."""

from dataclasses import dataclass

from sapphireyard.prefixes import PrefixRecord


@dataclass(frozen=True)
class Move:
    """What it costs to run a program away from its prefix.

    Parameters
    ----------
    seconds : float
        Time of the upstream spent on it.
    import_tokens : int
        Tokens to import rather than to prefill again; 0 to prefill.
    """

    seconds: float
    import_tokens: int = 0


class Placement:
    """Which upstream holds a program's prefix, and whether leaving it pays.

    Parameters
    ----------
    least_prefix : int, optional
        Tokens below which a prefix is not worth waiting for.
    keep_factor : float, optional
        Pause for which prefixes are kept fresh, against the time in which an
        upstream prefills its whole memory.
    """

    def __init__(self, *, least_prefix=64, keep_factor=1.0):
        self._least_prefix = least_prefix
        self._keep_factor = keep_factor
        self._records = {}

    def add(self, limits):
        """Follow one more upstream."""
        keep_seconds = self._keep_factor * limits.kv_tokens / limits.prefill_rate
        self._records[limits.name] = PrefixRecord(
            limits.kv_tokens, keep_seconds=keep_seconds
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
        if best is None or self._tokens(best, program) < self._least_prefix:
            return None
        return best

    def cached(self, name, request):
        """Return the tokens of a request that `name` need not prefill."""
        return min(self._tokens(name, request.program), request.prefix_tokens)

    def move(self, request, limits, source):
        """Return the `Move` of a request from its holder to an upstream."""
        held = self.cached(source, request) if source in self._records else 0
        tokens = max(0, held - self.cached(limits.name, request))
        prefill = tokens / limits.prefill_rate
        if not limits.transfer_rate:
            return Move(prefill)
        transfer = tokens / limits.transfer_rate
        if transfer >= prefill:
            return Move(prefill)
        return Move(transfer, tokens)

    def end(self, program):
        """Forget an ended program; return the upstreams that held it."""
        records = self._records.items()
        return [name for name, record in records if record.drop(program) > 0]

    def _tokens(self, name, program):
        record = self._records.get(name)
        return record.tokens(program) if record else 0
