"""Measures the memory of a daemon's state at the target size.

Builds the objects whose size grows with the fleet, without the texts of
histories, and prints the bytes of each and their sum::

    python -m bench.memory
"""

import json
import tracemalloc

from sapphireyard.configuration.tables import build_configuration
from sapphireyard.journal.generated_records import (
    CallCompleted,
    CallSource,
    ProgramOpened,
)
from sapphireyard.ownership.assignment import Member, create_assignment, plan_join
from sapphireyard.ownership.assignment_codec import decode_assignment, encode_assignment
from sapphireyard.programs.programs import Programs

HOSTS = 410
PARTITIONS = 8192
DOMAINS = 16
PROGRAMS_PER_HOST = 1268
TURNS = 97
CUSTOMERS = 1300
KEYS_PER_CUSTOMER = 4
MODELS = 13
UPSTREAMS = 5200


def build_programs():
    """Return the programs of one host, with their texts unloaded."""
    programs = Programs()
    for number in range(PROGRAMS_PER_HOST):
        key = f"customer-{number}/program-{number}"
        programs.apply(0, ProgramOpened(key, key, 0.0, budget_tokens=1))
        for turn in range(1, TURNS + 1):
            record = CallCompleted(
                key,
                turn,
                f"{number:016x}{turn:016x}",
                200,
                "",
                "answer",
                10,
                idempotency_key=f"~{number:012x}{turn:012x}",
                route="guide",
                repeatable=True,
                is_model=True,
            )
            source = CallSource("entry-1", 1, turn, turn)
            programs.apply(0, record, source=source)
        for call in programs.get(0, key).calls.values():
            call.unload()
    return programs


def build_target_configuration():
    """Return a configuration of the target size."""
    per_model = UPSTREAMS // MODELS
    tables = {
        "routes": [
            {"name": f"m{n}", "kind": "model", "pool": f"p{n}", "repeatable": True}
            for n in range(MODELS)
        ],
        "pools": [
            {
                "name": f"p{n}",
                "upstreams": [
                    {"name": f"u{n}-{k}", "address": f"10.0.{n}.{k % 250}:{8000 + k}"}
                    for k in range(per_model)
                ],
            }
            for n in range(MODELS)
        ],
        "customers": [
            {"name": f"customer-{n}", "rate": 10, "burst": 20} for n in range(CUSTOMERS)
        ],
        "keys": [
            {"digest": f"{n:064x}", "role": "customer", "customer": "c", "note": ""}
            for n in range(CUSTOMERS * KEYS_PER_CUSTOMER)
        ],
    }
    return build_configuration(1, "00", tables)


def build_assignment():
    """Return an assignment of the target size, as decoded from the store."""

    def member(number):
        return Member(
            host=f"entry-{number}",
            incarnation=1,
            peer_address=f"10.0.{number % 250}.1:8001",
            caller_address=f"10.0.{number % 250}.1:8000",
            failure_domain=f"d{number % DOMAINS}",
        )

    assignment = create_assignment(member(0), partitions=PARTITIONS)
    for number in range(1, HOSTS):
        assignment = plan_join(assignment, member(number))
    return decode_assignment(encode_assignment(assignment))


def measure(build):
    """Return the bytes that the result of `build` occupies."""
    tracemalloc.start()
    result = build()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del result
    return size


def main():
    """Print the sizes."""
    results = {
        "programs of a host, without texts": measure(build_programs),
        "configuration": measure(build_target_configuration),
        "assignment": measure(build_assignment),
    }
    results["all"] = sum(results.values())
    for name, size in results.items():
        print(f"{name:40}{size / 1e6:8.1f} MB")
    print(json.dumps(results))


if __name__ == "__main__":
    main()
