"""Logging: one line for each decision, as JSON or text, without keys.

Values passed as ``extra`` become fields of the line. Everything that looks like
a key is redacted.
"""

import contextlib
import json
import logging
import os
import re
import sys
import threading
import time
from collections import deque

PACKAGE = "sapphireyard"

MAIN_MODULE = "__main__"
"""Name of the logger of a binary that is run as a module."""

REDACTED = "[redacted]"

KEY_PREFIX = "syk_"
"""Prefix of every key, by which logs and secret scanners recognise keys."""

SECRET_PATTERN = re.compile(
    rf"{KEY_PREFIX}[A-Za-z0-9_-]+|(?<=[Bb]earer )[^\s\"',}}]+", re.ASCII
)
"""Text that is redacted in log lines."""

STANDARD_FIELDS = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime"}
"""Attributes of every log record; all others were passed as ``extra``."""

LINES_PER_SECOND = 500
"""Rate limit of one process for lines below warning level: about three lines for
each request at the highest load of a host."""

MAX_PENDING_BYTES = 64 * 1024
"""Limit of the data kept for a blocked descriptor: the capacity of a pipe."""

MAX_DECISIONS = 2000
"""Log records about programs that a host keeps in memory."""


def redact(text):
    """Return `text` without anything that looks like a key."""
    return SECRET_PATTERN.sub(REDACTED, text)


def extra_fields(record):
    """Return the values that were passed as ``extra``."""
    return {
        name: value
        for name, value in vars(record).items()
        if name not in STANDARD_FIELDS
    }


class JsonFormatter(logging.Formatter):
    """One JSON object for each record.

    Parameters
    ----------
    host : str
        Name of this host, included in each line.
    """

    def __init__(self, *, host):
        super().__init__()
        self._host = host

    def format(self, record):
        line = {
            "time": _format_time(record.created),
            "level": record.levelname,
            "host": self._host,
            "logger": record.name,
            "message": record.getMessage(),
            **extra_fields(record),
        }
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return redact(json.dumps(line, ensure_ascii=False, default=str))


class TextFormatter(logging.Formatter):
    """A line of text with the extra fields after the message."""

    def __init__(self, *, host):
        super().__init__()
        self._host = host

    def format(self, record):
        fields = " ".join(
            f"{name}={value}" for name, value in extra_fields(record).items()
        )
        time_text = _format_time(record.created)
        head = f"{time_text} {record.levelname} {self._host} {record.name}"
        text = f"{head}: {record.getMessage()} {fields}".rstrip()
        if record.exc_info:
            text += "\n" + self.formatException(record.exc_info)
        return redact(text)


class DecisionBuffer(logging.Handler):
    """Keeps the last records about programs, for operators.

    Parameters
    ----------
    capacity : int, optional
        Maximum number of records.
    """

    def __init__(self, *, capacity=MAX_DECISIONS):
        super().__init__(logging.INFO)
        self._records = deque(maxlen=capacity)

    def emit(self, record):
        """Keep a record with a ``program`` field."""
        if getattr(record, "program", None):
            self._records.append(record)

    def find(self, program):
        """Return the kept records of a program as plain data, oldest first."""
        return [
            {
                "time": _format_time(record.created),
                "message": redact(record.getMessage()),
                **extra_fields(record),
            }
            for record in self._records
            if record.program == program
        ]


def configure_logging(settings, *, host):
    """Send log lines to standard error.

    Parameters
    ----------
    settings : EntrySettings or other settings model
        Gives ``log_format`` and ``log_level``.
    host : str
        Name of this host.
    """
    formatter_class = JsonFormatter if settings.log_format == "json" else TextFormatter
    handler = logging.StreamHandler()
    handler.setFormatter(formatter_class(host=host))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.WARNING)
    for name in (PACKAGE, MAIN_MODULE):
        logging.getLogger(name).setLevel(settings.log_level)


def _format_time(seconds):
    whole = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(seconds))
    return f"{whole}.{int(seconds % 1 * 1000):03d}Z"


class NonBlockingHandler(logging.Handler):
    """Writes lines to a file descriptor without blocking.

    Lines above a rate limit, and lines for which a blocked descriptor leaves no
    room, are dropped and counted; the count is written with the next line.

    Parameters
    ----------
    descriptor : int
        File descriptor; set to non-blocking mode.
    lines_per_second : int, optional
        Rate limit of lines below warning level.
    """

    def __init__(self, descriptor, *, lines_per_second=LINES_PER_SECOND):
        super().__init__()
        self._descriptor = descriptor
        self._lines_per_second = lines_per_second
        self._second = 0
        self._written = 0
        self._pending = b""
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record):
        """Write a record, or count it as dropped; never raises."""
        try:
            self._emit(record)
        except Exception:
            self.dropped += 1

    def flush(self):
        """Write what a blocked descriptor has left, as far as it takes it."""
        with contextlib.suppress(OSError):
            self._write_pending()

    def _emit(self, record):
        second = int(record.created)
        if second != self._second:
            self._second, self._written = second, 0
        self._written += 1
        if self._written > self._lines_per_second and record.levelno < logging.WARNING:
            self.dropped += 1
            return
        line = self.format(record)
        if self.dropped:
            line = f'{{"dropped_lines": {self.dropped}}}\n{line}'
        self._write(line.encode(errors="backslashreplace") + b"\n")

    def _write(self, data):
        try:
            if len(self._pending) + len(data) > MAX_PENDING_BYTES:
                self._write_pending()
            if len(self._pending) + len(data) > MAX_PENDING_BYTES:
                self.dropped += 1
                return
            self._pending += data
            self._write_pending()
        except OSError:  # nobody reads the descriptor any more
            self._pending = b""
            self.dropped += 1
            return
        if not self._pending:
            self.dropped = 0

    def _write_pending(self):
        with contextlib.suppress(BlockingIOError):
            written = os.write(self._descriptor, self._pending)
            self._pending = self._pending[written:]


def configure_stdout_logging(*, host, level=logging.INFO, descriptor=1):
    """Send JSON lines to standard output, rate-limited and without blocking."""
    handler = NonBlockingHandler(descriptor)
    handler.setFormatter(JsonFormatter(host=host))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.WARNING)
    # "adapter" is the package that adapts sapphireyard to the platform.
    for name in (PACKAGE, MAIN_MODULE, "adapter"):
        logging.getLogger(name).setLevel(level)
    log_unhandled_errors()


def log_unhandled_errors():
    """Log what the interpreter would write to standard error.

    That may block, or raise, if nobody reads it.
    """
    logger = logging.getLogger(__name__)
    logging.captureWarnings(True)

    def log(error_class, error, traceback, **fields):
        logger.critical(
            "unhandled error",
            exc_info=(error_class, error, traceback),
            extra={"decision": "fault", **fields},
        )

    def log_from_thread(args):
        name = args.thread.name if args.thread else ""
        log(args.exc_type, args.exc_value, args.exc_traceback, thread=name)

    def log_ignored(args):
        log(args.exc_type, args.exc_value, args.exc_traceback, source=args.err_msg)

    sys.excepthook = log
    threading.excepthook = log_from_thread
    sys.unraisablehook = log_ignored


def reserve_standard_descriptors():
    """Open the descriptors 0 to 2 that are closed, so that no socket gets them.

    What is written to standard output or error would be sent through it.
    """
    for descriptor in range(3):
        try:
            os.fstat(descriptor)
        except OSError:
            os.open(os.devnull, os.O_RDWR)  # takes the lowest free descriptor
