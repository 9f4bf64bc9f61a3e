"""Parses the events of a stream while its bytes are forwarded."""

DATA_FIELD = b"data:"


class EventReader:
    """Collects the data of complete events of a ``text/event-stream`` body.

    An event ends with an empty line; lines end with LF or CRLF.
    """

    def __init__(self):
        self._incomplete_line = b""
        self._data = []
        self._open_bytes = 0
        self.events = 0
        self.output = bytearray()

    def feed(self, chunk):
        """Parse a chunk; return the number of events that it completes."""
        before = self.events
        lines = (self._incomplete_line + chunk).split(b"\n")
        self._incomplete_line = lines.pop()
        for line in lines:
            self._open_bytes += len(line) + 1
            self._process_line(line.removesuffix(b"\r"))
        return self.events - before

    @property
    def trailing_bytes(self):
        """int: Bytes since the end of the last event."""
        return self._open_bytes + len(self._incomplete_line)

    @property
    def partial(self):
        """bool: Whether the bytes so far end inside an event."""
        return bool(self._incomplete_line or self._data)

    def _process_line(self, line):
        if line:
            if line.startswith(DATA_FIELD):
                self._data.append(line[len(DATA_FIELD) :].removeprefix(b" "))
            return
        self._open_bytes = 0
        if not self._data:
            return
        self.output += b"\n".join(self._data) + b"\n"
        self._data = []
        self.events += 1
