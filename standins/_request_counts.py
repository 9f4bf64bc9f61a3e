"""Counters with which a stand-in reports what it received and executed."""

import re
from collections import Counter

KEY_PATTERN = re.compile(r"syk_[A-Za-z0-9_-]{16,}")
"""Format of a customer's key, which must never reach an upstream."""


class RequestCounts:
    """Counts executions by request, and requests that leaked a customer's key."""

    def __init__(self):
        self.executions = Counter()
        self.authorization_seen = 0
        self.keys_seen = 0

    def inspect(self, request, text):
        """Search the headers, path and body of a request for keys."""
        if "Authorization" in request.headers:
            self.authorization_seen += 1
        searched = " ".join([*request.headers.values(), request.path_qs, text])
        if KEY_PATTERN.search(searched):
            self.keys_seen += 1

    def to_json(self):
        """Return the body of ``GET /executions``."""
        return {
            "executions": dict(self.executions),
            "total": self.executions.total(),
            "authorization_seen": self.authorization_seen,
            "keys_seen": self.keys_seen,
        }
