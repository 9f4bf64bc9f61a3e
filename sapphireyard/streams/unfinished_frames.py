"""The memory of large frames that are being received, of all connections together."""

import logging
import math

logger = logging.getLogger(__name__)

SMALL_FRAME_BYTES = 64 * 1024
"""Bytes of a frame that any connection may keep; most frames are smaller."""
STALLED_SECONDS = 0.5
"""Time without a byte after which a frame is given up while others wait."""


class UnfinishedFrames:
    """Decides which connections may receive a large frame.

    Connections have the attributes `frame_bytes`, the size of their frame, and
    `received_at`, and the methods ``go_on()`` and ``close()``.

    Parameters
    ----------
    limit : float, optional
        Bytes of all large frames together; infinity without a limit. A single one may
        exceed it.
    """

    def __init__(self, limit=math.inf):
        self._limit = limit
        self._granted = {}
        self._waiting = []

    @property
    def total(self):
        """int: Bytes of the frames that are being received."""
        return sum(self._granted.values())

    def is_granted(self, connection):
        """Return whether a connection may receive its frame."""
        return connection in self._granted

    def request(self, connection):
        """Return whether a connection may receive its frame now; otherwise it waits."""
        if self._fits(connection):
            self._granted[connection] = connection.frame_bytes
            return True
        if connection not in self._waiting:
            self._waiting.append(connection)
        return False

    def release(self, connection):
        """Note that a connection has received its frame, or has ended."""
        if connection in self._waiting:
            self._waiting.remove(connection)
        if self._granted.pop(connection, None) is not None:
            self._wake()

    def check(self, now):
        """Close the connections whose frames have stalled while others wait."""
        if not self._waiting:
            return
        for connection in list(self._granted):
            if now - connection.received_at > STALLED_SECONDS:
                logger.warning(
                    "frame given up",
                    extra={
                        "decision": "frame",
                        "peer": connection.host,
                        "size": connection.frame_bytes,
                        "waiting": len(self._waiting),
                    },
                )
                connection.close()
                self.release(connection)

    def _fits(self, connection):
        return not self._granted or (self.total + connection.frame_bytes <= self._limit)

    def _wake(self):
        while self._waiting and self._fits(self._waiting[0]):
            connection = self._waiting.pop(0)
            self._granted[connection] = connection.frame_bytes
            connection.go_on()
