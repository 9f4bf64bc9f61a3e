"""Streams and messages between the system's own hosts."""
