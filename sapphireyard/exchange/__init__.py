"""Handles a request from its arrival to its answer, on the host that received it."""
