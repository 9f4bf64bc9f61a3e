"""A local estimate of the prefixes that an upstream holds."""

from collections import Counter, OrderedDict
from dataclasses import dataclass


@dataclass
class _Prefix:
    customer: str
    tokens: int
    kept_at: float


class PrefixRecord:
    """Prefixes that one upstream holds between the turns of programs.

    It is derived from the requests sent there: a finished request leaves its
    prefix, and the least recently used prefixes are evicted when memory is
    short. Cache events of the upstream, which are late and have gaps, correct
    it. A prefix is fresh while its program is expected to return soon, then
    stale: still held, but its memory counts as free.

    Parameters
    ----------
    kv_tokens : int
        KV memory of the upstream in tokens.
    keep_seconds : float, optional
        Idle time after which a prefix is stale.
    """

    def __init__(self, kv_tokens, *, keep_seconds=float("inf")):
        self.keep_seconds = keep_seconds
        self._kv_tokens = kv_tokens
        self._fresh = OrderedDict()
        self._stale = OrderedDict()
        self._total = 0
        self._fresh_total = 0
        self._fresh_by_customer = Counter()

    @property
    def total(self):
        """int: Tokens of all prefixes held."""
        return self._total

    @property
    def fresh_total(self):
        """int: Tokens of the fresh prefixes."""
        return self._fresh_total

    def fresh_of(self, customer):
        """Return the tokens of a customer's fresh prefixes."""
        return self._fresh_by_customer[customer]

    def customers(self):
        """Return the customers with fresh prefixes."""
        return self._fresh_by_customer.keys()

    def tokens(self, program):
        """Return the tokens of the prefix of `program` held here."""
        prefix = self._fresh.get(program) or self._stale.get(program)
        return prefix.tokens if prefix else 0

    def keep(self, program, tokens, now, *, customer="", reserved=0):
        """Record the prefix that a request left, with `reserved` tokens in use."""
        self.drop(program)
        self._fresh[program] = _Prefix(customer, tokens, now)
        self._total += tokens
        self._count_fresh(customer, tokens)
        self.trim(reserved)

    def drop(self, program):
        """Record that a prefix is in use or gone; return its tokens."""
        prefix = self._stale.pop(program, None)
        if prefix is None:
            prefix = self._fresh.pop(program, None)
            if prefix is None:
                return 0
            self._count_fresh(prefix.customer, -prefix.tokens)
        self._total -= prefix.tokens
        return prefix.tokens

    def trim(self, reserved):
        """Evict what does not fit beside `reserved` tokens in use."""
        while self._total and self._total + reserved > self._kv_tokens:
            excess = self._total + reserved - self._kv_tokens
            program, prefix = next(iter((self._stale or self._fresh).items()))
            if prefix.tokens <= excess:
                self.drop(program)
                continue
            self._resize(program, prefix, prefix.tokens - excess)

    def age(self, now):
        """Mark prefixes as stale that were idle for `keep_seconds`."""
        while self._fresh:
            program, prefix = next(iter(self._fresh.items()))
            if now - prefix.kept_at < self.keep_seconds:
                return
            del self._fresh[program]
            self._stale[program] = prefix
            self._count_fresh(prefix.customer, -prefix.tokens)

    def correct(self, program, tokens, observed_at):
        """Apply a cache event unless it is older than the record."""
        prefix = self._fresh.get(program) or self._stale.get(program)
        if prefix is None or observed_at < prefix.kept_at:
            return
        if tokens <= 0:
            self.drop(program)
            return
        self._resize(program, prefix, tokens)

    def clear(self):
        """Drop all prefixes, because the upstream restarted."""
        self._fresh.clear()
        self._stale.clear()
        self._fresh_by_customer.clear()
        self._total = self._fresh_total = 0

    def _resize(self, program, prefix, tokens):
        change = tokens - prefix.tokens
        prefix.tokens = tokens
        self._total += change
        if program in self._fresh:
            self._count_fresh(prefix.customer, change)

    def _count_fresh(self, customer, tokens):
        self._fresh_total += tokens
        self._fresh_by_customer[customer] += tokens
        if not self._fresh_by_customer[customer]:
            del self._fresh_by_customer[customer]
