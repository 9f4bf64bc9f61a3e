"""A scheduler for agent programs; see README.md for its binaries."""

from sapphireyard.clocks import Clock
from sapphireyard.exceptions import CallError, Finding, SapphireyardError, StoreError
from sapphireyard.runtime import Runtime
from sapphireyard.storage.stores import ObjectChange, Store, StoredObject, WatchResult

__all__ = [
    "CallError",
    "Clock",
    "Finding",
    "ObjectChange",
    "Runtime",
    "SapphireyardError",
    "Store",
    "StoreError",
    "StoredObject",
    "WatchResult",
]
