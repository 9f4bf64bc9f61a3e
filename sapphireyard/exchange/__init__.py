"""One request from its arrival to its answer, on the host that took it."""
