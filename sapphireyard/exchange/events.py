"""Reads the events of a stream while its bytes pass through."""

DATA_FIELD = b"data:"


class EventReader:
    """Collects the data of whole events.

    Feed it the bytes of a ``text/event-stream`` body. An event ends with an
    empty line; lines end with LF, CRLF or CR.
    """

    def __init__(self):
        self._rest = b""
        self._data = []
        self.events = 0
        self.output = bytearray()

    def feed(self, chunk):
        """Take in bytes; return the number of events completed by them."""
        before = self.events
        lines = (self._rest + chunk).split(b"\n")
        self._rest = lines.pop()
        for line in lines:
            self._take_line(line.removesuffix(b"\r"))
        return self.events - before

    @property
    def partial(self):
        """bool: Whether the bytes so far end inside an event."""
        return bool(self._rest or self._data)

    def _take_line(self, line):
        if line:
            if line.startswith(DATA_FIELD):
                self._data.append(line[len(DATA_FIELD) :].removeprefix(b" "))
            return
        if not self._data:
            return
        self.output += b"\n".join(self._data) + b"\n"
        self._data = []
        self.events += 1
