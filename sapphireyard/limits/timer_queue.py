"""A priority queue of keys by due time, with updates and removal by key."""

from sortedcontainers import SortedList


class TimerQueue:
    """Due times in monotonic seconds, at most one for each key."""

    def __init__(self):
        self._times = {}
        self._order = SortedList()

    def __len__(self):
        return len(self._times)

    @property
    def next_at(self):
        """float: The earliest due time, or infinity."""
        return self._order[0][0] if self._order else float("inf")

    def put(self, key, at):
        """Set the due time of `key`; infinity removes it."""
        self.discard(key)
        if at == float("inf"):
            return
        self._times[key] = at
        self._order.add((at, key))

    def bring_forward(self, key, at):
        """Set the due time of `key` unless it is already due earlier."""
        if at < self._times.get(key, float("inf")):
            self.put(key, at)

    def discard(self, key):
        """Remove `key` if it is present."""
        at = self._times.pop(key, None)
        if at is not None:
            self._order.remove((at, key))

    def pop_due(self, now):
        """Remove and return the keys that are due."""
        keys = []
        while self._order and self._order[0][0] <= now:
            _, key = self._order.pop(0)
            del self._times[key]
            keys.append(key)
        return keys
