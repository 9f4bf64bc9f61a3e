"""Signals of a process, which are kept from its first statement to its end."""

import signal
import socket
import time
from contextlib import contextmanager

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
SIGNALS = (*STOP_SIGNALS, signal.SIGHUP)


class SignalQueue:
    """Keeps signals until an event loop handles them.

    The handlers stay the same for the whole run of the process. Those of an event loop
    are removed when the loop closes, and from then on a signal would end the process
    with the status of that signal.

    Parameters
    ----------
    received : list of (int, float), optional
        Signals received so far, with the monotonic seconds of each; later ones are
        appended, so that other handlers may use the same list until `install`.
    """

    def __init__(self, received=None):
        self._received = [] if received is None else received

    @property
    def stop_requested(self):
        """bool: Whether a signal to stop waits to be handled."""
        return any(number in STOP_SIGNALS for number, _ in self._received)

    def install(self):
        """Keep all signals from now on."""
        for number in SIGNALS:
            signal.signal(number, self.receive)

    def receive(self, number, frame):
        """Keep a signal; a handler for `signal.signal`."""
        self._received.append((number, time.monotonic()))

    def ignore(self):
        """Ignore all signals, as nothing is left that could handle them.

        The interpreter restores the default of all others when it exits.
        """
        for number in SIGNALS:
            signal.signal(number, signal.SIG_IGN)

    @contextmanager
    def attach(self, loop, handle):
        """Handle signals in an event loop, those that were kept first.

        Parameters
        ----------
        loop : asyncio.AbstractEventLoop
            The running loop of the main thread.
        handle : callable
            Called with each `signal.Signals` and the monotonic seconds at which it
            was received.
        """
        reader, writer = socket.socketpair()
        reader.setblocking(False)
        writer.setblocking(False)

        def dispatch():
            while self._received:
                number, received_at = self._received.pop(0)
                handle(signal.Signals(number), received_at)

        def wake():
            reader.recv(4096)
            # A signal that another thread took is kept at the next step at the latest.
            loop.call_soon(dispatch)

        loop.add_reader(reader, wake)
        signal.set_wakeup_fd(writer.fileno(), warn_on_full_buffer=False)
        dispatch()
        try:
            yield
        finally:
            signal.set_wakeup_fd(-1)
            loop.remove_reader(reader)
            reader.close()
            writer.close()
