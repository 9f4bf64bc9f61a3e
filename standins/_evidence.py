"""What a stand-in saw and did, for the checks of tests."""

import re
from collections import Counter

KEY_PATTERN = re.compile(r"syk_[A-Za-z0-9_-]{16,}")
"""Form of a customer's key, which no upstream may see."""


class Evidence:
    """Counts executions by request and sightings of customers' keys."""

    def __init__(self):
        self.executions = Counter()
        self.authorization_seen = 0
        self.keys_seen = 0

    def inspect(self, request, text):
        """Look for keys in the headers and the body of a request."""
        if "Authorization" in request.headers:
            self.authorization_seen += 1
        everything = " ".join([*request.headers.values(), request.path_qs, text])
        if KEY_PATTERN.search(everything):
            self.keys_seen += 1

    def to_json(self):
        """Return the counts for ``GET /executions``."""
        return {
            "executions": dict(self.executions),
            "total": self.executions.total(),
            "authorization_seen": self.authorization_seen,
            "keys_seen": self.keys_seen,
        }
