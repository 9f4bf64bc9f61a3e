"""The hash that selects partitions and hosts; the same on all hosts."""

import xxhash


def hash_text(text):
    """Return the 64-bit hash of a string."""
    return xxhash.xxh3_64_intdigest(text.encode())
