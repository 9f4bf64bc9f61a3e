"""Whether a request that arrives is queued, or refused at once."""

import xxhash

QUEUE_SHARE = 0.1
"""Requests that may wait ahead of a new program, as a share of the slots. With more,
each of its turns waits for longer than the slack of a tight aim."""
AIM_SHARE = 0.025
"""Share of the time until its aim for which the first turn of a program may wait, if
that is more: programs with much time have many turns, or slack."""
HASH_RANGE = 2**64


class QueueAdmission:
    """Refuses what cannot be served in time before any work is spent on it.

    Handles a burst above the capacity of a service: programs that have started keep
    the slots that they need to end in time, and new ones are refused while too many
    requests wait ahead of them. What goes behind them in the queue does not count.

    Parameters
    ----------
    queue_share : float, optional
        Requests that may wait ahead of a new program, as a share of the slots.
    """

    def __init__(self, *, queue_share=QUEUE_SHARE):
        self._queue_share = queue_share

    def find_delay(self, request, *, ahead, slots, seconds, now, free=0, engines=True):
        """Return the seconds after which a refused request may return, or None.

        Parameters
        ----------
        request : SlotRequest
            The request.
        ahead : int
            Waiting requests that go before it.
        slots : int
            Slots of the upstreams that may get requests.
        seconds : float
            Mean time for which a slot is held.
        now : float
            Monotonic seconds.
        free : int, optional
            Slots that are free though requests wait, such as those that wait for the
            upstream that holds their prefix.
        engines : bool, optional
            The upstreams are engines, which run programs of several turns. A request
            to any other is refused only if it cannot be served in time itself.

        Returns
        -------
        float or None
            None if the request may be queued.
        """
        if not slots:
            return seconds if now + seconds > request.deadline > 0 else None
        wait = max(0, ahead - free) * seconds / slots
        if request.deadline and now + wait > request.deadline:
            return wait
        bearable = max(self._queue_share * seconds, AIM_SHARE * (request.aim_at - now))
        if not engines or request.started or wait <= bearable:
            return None
        return wait - bearable + self._spread(request) * seconds

    def _spread(self, request):
        """Return a number from 0 to 1 by which refused programs return one by one."""
        return xxhash.xxh3_64_intdigest(request.root.encode()) / HASH_RANGE
