"""The connections that a process has accepted, and what they hold unasked.

Anyone can connect to the addresses on which a process listens, and send bytes before it
is known who that is. These bytes and connections are counted for all listeners of the
process together; the bytes of requests that were admitted are counted elsewhere.
"""

import logging
import socket

from sapphireyard.slices import Slices

logger = logging.getLogger(__name__)

WINDOW_BYTES = 4 * 1024
"""Receive buffer of an accepted connection: what arrives while nobody reads it."""
WIDE_WINDOW_BYTES = 32 * 1024
"""The same while a large body or message is read, whose bytes are counted."""
SEND_BUFFER_BYTES = 32 * 1024
"""Send buffer of an accepted connection; the rest of an answer is counted here."""
UNREAD_BYTES = 5 * 1024
"""Most bytes that wait unread in a buffer of `WINDOW_BYTES`."""
CONNECTION_BYTES = 8 * 1024
"""Memory of a connection without a request."""
MAX_CONNECTIONS = 8192
MAX_PENDING = 64 * 1024 * 1024
"""Connections, and bytes that they hold, where no settings limit them."""
LISTEN_BACKLOG = 1024
"""Connections that may wait to be accepted; callers open many after a restart."""
ACCEPTED_AT_ONCE = 32
"""Connections that are accepted before it is decided which of them are kept."""
CLOSED_SHARE = 1 / 32
"""Share of the connections that are closed at a time, as each choice takes a while."""

UNUSED, IDLE, BEGUN = range(3)
"""What a connection without a request has done: nothing yet, been answered, or begun a
request. Those that cost their callers least are closed first."""


def open_listener(address, *, backlog=LISTEN_BACKLOG):
    """Return a listening socket whose connections have small buffers.

    Parameters
    ----------
    address : str
        IP:PORT.
    backlog : int, optional
        Connections that may wait to be accepted.

    Raises
    ------
    OSError
        The address cannot be used.
    """
    ip, port = address.rsplit(":", 1)
    listener = socket.socket()
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        listener.setblocking(False)
        listener.bind((ip, int(port)))
        listener.listen(backlog)
    except OSError:
        listener.close()
        raise
    return listener


def set_window(transport, size):
    """Set the receive buffer of a connection, in bytes."""
    connection = transport.get_extra_info("socket")
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
    except OSError as error:  # the connection has ended
        logger.debug("window not set: %s", error)


def choose_closed(idle_since, count):
    """Return the idle connections to close so that there are `count` fewer.

    Handles callers that come back all at once after a restart and keep connections
    that they do not use: those idle for longest are closed first, and none with a
    request.

    Parameters
    ----------
    idle_since : dict of connection to float
        Monotonic seconds since which each idle connection has had no request.
    count : int
        Connections above the limit; not positive if there is room.
    """
    return sorted(idle_since, key=idle_since.get)[: max(0, count)]


class Intake:
    """Decides which accepted connections are kept.

    Connections have a property `claim`: None while they have a request, otherwise
    what they have done and since when, as in ``(IDLE, seconds)``. Their method
    ``let_go(reason)`` closes them.

    Parameters
    ----------
    max_connections : int, optional
        Connections that are kept.
    max_pending : float, optional
        Bytes that all connections together may hold before their requests are
        admitted; infinity without a limit.

    Attributes
    ----------
    slices : Slices
        Divides the time for what the connections have sent.
    """

    def __init__(self, *, max_connections=MAX_CONNECTIONS, max_pending=MAX_PENDING):
        self._max_connections = max_connections
        self._max_pending = max_pending
        self._pending = {}
        self._total_pending = 0
        self.slices = Slices()

    @property
    def count(self):
        """int: Connections that are open."""
        return len(self._pending)

    @property
    def size(self):
        """int: Bytes of memory, those that may have arrived unread included."""
        each = CONNECTION_BYTES + UNREAD_BYTES
        return self._total_pending + len(self._pending) * each

    def add(self, connection):
        """Count a new connection; close others, or it, if there are too many."""
        self._pending[connection] = 0
        excess = len(self._pending) - self._max_connections
        if excess > 0:
            share = int(self._max_connections * CLOSED_SHARE)
            self._close(max(excess, share), "too many connections", spare=connection)
        if len(self._pending) > self._max_connections:
            self._let_go(connection, "too many connections")

    def note(self, connection, pending):
        """Record the bytes that a connection holds; close some if there is no room."""
        if connection not in self._pending:
            return
        self._total_pending += pending - self._pending[connection]
        self._pending[connection] = pending
        while self._total_pending > self._max_pending:
            if not self._close(1, "no memory for what was sent", holding=True):
                return

    def fits(self, size):
        """Return whether `size` bytes more may be held."""
        return self._total_pending + size <= self._max_pending

    def remove(self, connection):
        """Forget a connection that has ended."""
        self._total_pending -= self._pending.pop(connection, 0)

    def _close(self, count, reason, *, holding=False, spare=None):
        """Close the connections that claim least; return whether there are any."""
        claims = {
            each: each.claim
            for each, pending in self._pending.items()
            if each is not spare and (pending or not holding)
        }
        free = [each for each, claim in claims.items() if claim is not None]
        chosen = sorted(free, key=claims.get)[:count]
        for connection in chosen:
            self._let_go(connection, reason)
        if chosen:
            logger.info(
                "connections closed",
                extra={
                    "decision": "close",
                    "reason": reason,
                    "count": len(chosen),
                    "open": len(self._pending),
                    "pending": self._total_pending,
                },
            )
        return bool(chosen)

    def _let_go(self, connection, reason):
        self.remove(connection)
        connection.let_go(reason)
