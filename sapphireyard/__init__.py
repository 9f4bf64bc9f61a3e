"""A scheduler for agent programs; see README.md for its binaries."""

from sapphireyard.clocks import Clock
from sapphireyard.exceptions import CallError, Finding, StoreError, YardError
from sapphireyard.storage.stores import ObjectChange, Store, StoredObject, WatchResult
from sapphireyard.yard import Yard

__all__ = [
    "CallError",
    "Clock",
    "Finding",
    "ObjectChange",
    "Store",
    "StoreError",
    "StoredObject",
    "WatchResult",
    "Yard",
    "YardError",
]
