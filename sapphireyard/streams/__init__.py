"""Streams and messages between hosts."""
