"""Measures the cost of configuration changes at given table sizes.

Run as ``python -m bench.configuration --customers 1300 --upstreams 5200``. Prints
JSON.
"""

import asyncio
import json
import random
import time
from dataclasses import dataclass
from typing import Annotated

import cappa

from sapphireyard.configuration.keys import create_key, create_salt, digest_key
from sapphireyard.configuration.manifests import (
    ManifestRepository,
    PartCache,
    diff_manifests,
    encode_manifest,
)
from standins.memory import MemoryStore

Flag = cappa.Arg(long=True)


@dataclass
class Options:
    """Command line flags: sizes of the tables, and number and seed of the changes."""

    customers: Annotated[int, Flag] = 1300
    keys: Annotated[int, Flag] = 5200
    upstreams: Annotated[int, Flag] = 5200
    pools: Annotated[int, Flag] = 208
    routes: Annotated[int, Flag] = 200
    changes: Annotated[int, Flag] = 50
    seed: Annotated[int, Flag] = 1


def build_tables(options, salt):
    """Return the rows of all tables at the given sizes."""
    per_pool = options.upstreams // options.pools
    return {
        "routes": [
            {
                "name": f"route-{n}",
                "kind": "model",
                "pool": f"pool-{n % options.pools}",
                "repeatable": True,
            }
            for n in range(options.routes)
        ],
        "pools": [
            {
                "name": f"pool-{n}",
                "upstreams": [
                    {
                        "name": f"upstream-{n}-{m}",
                        "address": f"10.{n % 250}.{m % 250}.1:8000",
                        "fencing": "check",
                    }
                    for m in range(per_pool)
                ],
            }
            for n in range(options.pools)
        ],
        "customers": [
            {"name": f"customer-{n}", "rate": 5.0, "burst": 10.0}
            for n in range(options.customers)
        ],
        "keys": [
            {
                "digest": digest_key(create_key(), salt),
                "customer": f"customer-{n % options.customers}",
            }
            for n in range(options.keys)
        ],
    }


async def measure(options):
    """Return the costs per change on one host."""
    random.seed(options.seed)
    store = MemoryStore()
    repository = ManifestRepository(store)
    salt = create_salt()
    tables = build_tables(options, salt)
    common = {"author": "bench", "note": "", "now": 0.0}
    manifest = await repository.write(
        tables, base=None, object_version=0, salt=salt, **common
    )
    cache = PartCache()
    started = time.process_time()
    await cache.load(manifest, repository.fetch)
    first_load_seconds = time.process_time() - started
    bytes_pulled, load_seconds = 0, 0.0
    for number in range(options.changes):
        random.choice(tables["customers"])["rate"] = number + 6.0
        cached = cache.digests
        base = manifest
        manifest = await repository.write(
            tables, base=base, object_version=number + 1, **common
        )
        started = time.process_time()
        await cache.load(manifest, repository.fetch)
        load_seconds += time.process_time() - started
        bytes_pulled += len(diff_manifests(base, manifest))
        bytes_pulled += sum(
            len(cache.text(digest)) for digest in cache.digests - cached
        )
        cache.keep_only(manifest)
    return {
        "parts": sum(map(len, manifest.parts.values())),
        "manifest_bytes": len(encode_manifest(manifest)),
        "first_load_seconds": round(first_load_seconds, 4),
        "seconds_a_change": round(load_seconds / options.changes, 5),
        "bytes_pulled_a_change": bytes_pulled // options.changes,
        "options": vars(options),
    }


if __name__ == "__main__":
    arguments = cappa.parse(Options, completion=False)
    print(json.dumps(asyncio.run(measure(arguments)), indent=2))
