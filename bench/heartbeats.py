"""Measures the size of heartbeats and the CPU time to encode and decode them.

Run ``python -m bench.heartbeats``.
"""

import json
import time

import msgpack

from sapphireyard.fleet import generated_fleet
from sapphireyard.fleet.generated_fleet import CopySet, Heartbeat
from sapphireyard.fleet.gossip import FANOUT, HEARTBEAT_SECONDS
from sapphireyard.fleet.membership import ENTRY
from sapphireyard.fleet.quotas import FleetQuotas, QuotaRule
from sapphireyard.streams.frames import MessageCodec

ROUNDS = 2000
SIZES = {"hatua": (7, 8, 10), "hatua grown": (65, 79, 40), "target": (410, 1300, 5200)}
"""Numbers of entry hosts, customers and upstreams by deployment."""


def build_heartbeat(hosts, customers, upstreams):
    """Return a heartbeat of a host that admits calls of all customers."""
    receivers = min(hosts - 1, FANOUT)
    return Heartbeat(
        "front-nbo-west-1",
        1_796_000_000_000,
        1000,
        "10.1.0.11:7780",
        ENTRY,
        "nbo-west",
        caller_address="10.1.0.11:8368",
        ready=True,
        store_age=0.5,
        configuration_version=40,
        configuration_age=0.4,
        admitted={f"hule{n}": 1000 + n for n in range(customers)},
        running={f"i-{n:010x}": 2 for n in range(min(upstreams, 40))},
        heard={f"front-{n}": [1_796_000_000_000, 1000 + n] for n in range(receivers)},
        copies=CopySet(4, {f"store-{n}": "0" * 16 for n in range(4)}),
    )


def measure(hosts, customers, upstreams):
    """Return the size, and the times to encode and to decode and merge a heartbeat."""
    codec = MessageCodec()
    codec.register_module(generated_fleet)
    heartbeat = build_heartbeat(hosts, customers, upstreams)
    payload = msgpack.packb(codec.dump(heartbeat))
    started = time.process_time()
    for _ in range(ROUNDS):
        msgpack.packb(codec.dump(heartbeat))
    encode_ended = time.process_time()
    quotas = FleetQuotas(started_at=0.0)
    rule = QuotaRule(70.0, 70.0)
    for number in range(ROUNDS):
        decoded = codec.load(*msgpack.unpackb(payload))
        quotas.merge_counts(
            "b", 1, decoded.admitted, lambda _: rule, number * 0.1, new=False
        )
    decode_ended = time.process_time()
    encode_seconds = (encode_ended - started) / ROUNDS
    decode_seconds = (decode_ended - encode_ended) / ROUNDS
    received_per_second = min(hosts - 1, FANOUT) / HEARTBEAT_SECONDS
    return {
        "bytes": len(payload),
        "write_us": round(encode_seconds * 1e6, 1),
        "read_us": round(decode_seconds * 1e6, 1),
        "received_kb_per_second": round(received_per_second * len(payload) / 1000, 1),
        "core_percent": round(
            100
            * (
                encode_seconds / HEARTBEAT_SECONDS
                + received_per_second * decode_seconds
            ),
            1,
        ),
    }


def main():
    """Print one line of JSON per deployment."""
    for name, size in SIZES.items():
        print(json.dumps({"deployment": name, "hosts": size[0], **measure(*size)}))


if __name__ == "__main__":
    main()
