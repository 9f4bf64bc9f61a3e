"""Prefixes held by the upstreams of a group, and the cost of moving a program."""

from sapphireyard.scheduling.pace import MUCH_SLOWER
from sapphireyard.scheduling.parts import KeptParts
from sapphireyard.scheduling.prefixes import PrefixRecord

READ_SMOOTHING = 0.05
"""Weight of the newest request in the mean of prompt tokens read."""
FIRST_MEAN_READ_TOKENS = 512.0


class Placement:
    """Tracks which upstream holds a program's prefix, and what a move costs.

    Parameters
    ----------
    min_prefix : int, optional
        Tokens below which a prefix is not worth waiting for.
    keep_seconds : float, optional
        Idle time after which the memory of a prefix counts as free.
    parts : KeptParts, optional
        Parts of prompts that upstreams keep.
    """

    def __init__(self, *, min_prefix=64, keep_seconds=float("inf"), parts=None):
        self._min_prefix = min_prefix
        self._keep_seconds = keep_seconds
        self._parts = KeptParts() if parts is None else parts
        self._records = {}
        self._mean_read = FIRST_MEAN_READ_TOKENS

    def add(self, limits):
        """Add an upstream."""
        self._records[limits.name] = PrefixRecord(
            limits.kv_tokens, keep_seconds=self._keep_seconds
        )
        self._parts.add(limits.name, limits.kv_tokens)

    def resize(self, limits):
        """Apply the changed limits of an upstream."""
        self._parts.add(limits.name, limits.kv_tokens)

    def remove(self, name):
        """Remove an upstream."""
        self._records.pop(name, None)
        self._parts.remove(name)

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
        """Return the prompt tokens of a request that are cached on `name`."""
        prefix = min(self._tokens(name, request.program), request.prefix_tokens)
        if not request.prompt_parts:
            return prefix
        prompt = request.prefix_tokens + request.new_tokens
        kept = self._parts.find(request.prompt_parts).get(name, 0)
        return max(prefix, min(kept, prompt))

    def choose_keeper(self, request, candidates):
        """Return the upstream that ends a request soonest, by what it keeps.

        The request is read and answered at the upstream's pace. Each request that runs
        there counts as much as the mean prompt that is read: its successor's prompt is
        read between the tokens of all others. So upstreams that keep a part get more
        requests than others only as far as that saves time, and a part that many
        requests share is kept by as many upstreams as these need.

        Parameters
        ----------
        request : SlotRequest
            A request whose parts are known.
        candidates : dict of UpstreamLimits to (float, float)
            Requests that run, and time that a request takes relative to the expected
            time, of upstreams that have room for it, in the order of preference.

        Returns
        -------
        str
            Name of the upstream; the first one if none keeps enough of the prompt.
        """
        kept = self._parts.find(request.prompt_parts)
        prompt = request.prefix_tokens + request.new_tokens

        fastest = min(pace for _, pace in candidates.values())

        def cost(limits):
            running, pace = candidates[limits]
            pace = pace / fastest if pace >= MUCH_SLOWER * fastest else 1.0
            step_tokens = limits.prefill_rate * limits.decode_seconds
            tokens = max(0, prompt - kept.get(limits.name, 0))
            tokens += request.expected_output * step_tokens
            return pace * tokens + running * self._mean_read

        return min(candidates, key=cost).name

    def note_sent(self, name, request, now):
        """Record that a request is sent to an upstream, which reads its prompt."""
        if not request.prompt_parts:
            return
        prompt = request.prefix_tokens + request.new_tokens
        read = max(0, prompt - self.cached(name, request))
        self._mean_read += READ_SMOOTHING * (read - self._mean_read)
        self._parts.note_sent(name, request.prompt_parts, now)

    def find_keepers(self, request):
        """Return the prompt tokens of a request that each upstream keeps, by name."""
        if not request.prompt_parts:
            return {}
        return self._parts.find(request.prompt_parts)

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
