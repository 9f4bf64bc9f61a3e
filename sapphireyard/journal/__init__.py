"""Durable records of programs, in the store and in the memory of peers."""
