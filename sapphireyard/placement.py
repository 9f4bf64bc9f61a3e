"""What the upstreams of a group hold, and what moving a program costs."""

from collections import OrderedDict
from dataclasses import dataclass


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


class PrefixRecord:
    """Prefixes that one upstream holds, as far as is known from here.

    It follows what was sent there: a finished request leaves its prefix, and
    the least recently used prefixes go when memory is short. Cache events of
    the upstream, late and with gaps, correct it.

    Parameters
    ----------
    kv_tokens : int
        KV memory of the upstream in tokens.
    """

    def __init__(self, kv_tokens):
        self._kv_tokens = kv_tokens
        self._prefixes = OrderedDict()
        self._total = 0

    @property
    def total(self):
        """int: Tokens of all prefixes held."""
        return self._total

    def tokens(self, program):
        """Return the tokens of the prefix of `program` held here."""
        return self._prefixes.get(program, (0, 0.0))[0]

    def keep(self, program, tokens, now, *, reserved=0):
        """Record the prefix that a request left, beside `reserved` tokens."""
        self.drop(program)
        self._prefixes[program] = (tokens, now)
        self._total += tokens
        self.trim(reserved)

    def drop(self, program):
        """Record that a prefix is in use or gone; return its tokens."""
        tokens = self._prefixes.pop(program, (0, 0.0))[0]
        self._total -= tokens
        return tokens

    def trim(self, reserved):
        """Forget what cannot be held beside `reserved` tokens in use."""
        while self._prefixes and self._total + reserved > self._kv_tokens:
            program, (tokens, kept_at) = self._prefixes.popitem(last=False)
            excess = self._total + reserved - self._kv_tokens
            self._total -= tokens
            if tokens > excess:
                self._prefixes[program] = (tokens - excess, kept_at)
                self._prefixes.move_to_end(program, last=False)
                self._total += tokens - excess

    def correct(self, program, tokens, observed_at):
        """Take in a cache event; older than the record, it says nothing."""
        entry = self._prefixes.get(program)
        if entry is None or observed_at < entry[1]:
            return
        self._total += tokens - entry[0]
        self._prefixes[program] = (tokens, entry[1])
        if tokens <= 0:
            self.drop(program)

    def clear(self):
        """Forget all: the upstream restarted."""
        self._prefixes.clear()
        self._total = 0


class Placement:
    """Which upstream holds a program's prefix, and whether leaving it pays.

    Parameters
    ----------
    least_prefix : int, optional
        Tokens below which a prefix is not worth waiting for.
    """

    def __init__(self, *, least_prefix=64):
        self._least_prefix = least_prefix
        self._records = {}

    def add(self, limits):
        """Follow one more upstream."""
        self._records[limits.name] = PrefixRecord(limits.kv_tokens)

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
