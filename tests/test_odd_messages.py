"""What hosts receive from each other and from others, with odd values and bytes."""

import math
import random
import sys
import unittest

import msgpack
import msgspec

from sapphireyard.clocks import Clock
from sapphireyard.exceptions import PeerError
from sapphireyard.exchange.configuration import Configuration
from sapphireyard.fleet import datagrams
from sapphireyard.fleet.datagrams import FIELDS, FORMAT, decode_heartbeat
from sapphireyard.fleet.generated_fleet import Heartbeat
from sapphireyard.streams import generated_messages
from sapphireyard.streams.frames import HEADER, FrameError, FrameReader, MessageCodec
from tests.platform_site import ROOT, build_configuration
from tests.test_odd_entries import ENTRY, ODD_VALUES

sys.path.insert(0, str(ROOT / "platform"))

from adapter.objects import (  # noqa: E402
    InvalidAnswer,
    decode_changes,
    decode_object,
    decode_page,
)
from adapter.tables import decode_configuration, decode_upstream  # noqa: E402

SEED = 43
ROUNDS = 1000
DEEP = 100_000
ODD_NUMBERS = (math.nan, math.inf, -math.inf, 2**63, -(2**63), 2**64 - 1, 0.5, -1)


def build_values(**fields):
    """Return the array of a heartbeat with changed fields."""
    heartbeat = Heartbeat("a", 5, 9, "127.0.0.1:1", "entry", "x")
    return [
        FORMAT,
        *(fields.get(name, getattr(heartbeat, name)) for name in FIELDS),
    ]


def mutate(data, source):
    """Return `data` with some bytes changed, removed, repeated or swapped."""
    data = bytearray(data)
    for _ in range(source.randint(1, 4)):
        if not data:
            break
        start = source.randrange(len(data))
        end = min(len(data), start + source.choice((1, 1, 2, 8, 64)))
        part = data[start:end]
        change = source.randrange(5)
        if change == 0:
            data[start] = source.randrange(256)
        elif change == 1:
            del data[start:end]
        elif change == 2:
            data[start:start] = part * source.choice((1, 2, 500))
        elif change == 3:
            data[start:end] = source.choice(
                (b"[", b"]", b"{", b"}", b'"', b"\\", b",", b"\xff", b"1" * 5000)
            )
        else:
            data[start:start] = source.choice((b"[", b'{"a":')) * source.choice(
                (1, 2000)
            )
    return bytes(data)


class HeartbeatValuesTest(unittest.TestCase):
    def test_numbers_that_spread_are_rejected(self):
        """Cases are fields with a value that no calculation gets rid of."""
        cases = [
            (name, number)
            for name in datagrams.NUMBERS
            for number in (math.nan, math.inf, -math.inf)
        ]
        cases += [
            ("upstream_rates", {"u": [1.0, math.nan, 0.0]}),
            ("upstream_rates", {"u": [math.nan, 1.0, 0.0]}),
            ("upstream_results", {"u": [1.0, 2.0, math.inf, 0.0]}),
            ("crashes", {"d": []}),
            ("running", {"u": math.nan}),
            ("number", 2.5),
        ]
        for name, value in cases:
            with self.subTest(name, value=value), self.assertRaises(PeerError):
                payload = msgspec.msgpack.encode(build_values(**{name: value}))
                decode_heartbeat(payload)

    def test_nested_datagrams_are_rejected(self):
        for opening in (b"\x91", b"\x81\xa1a", b"\x92\x02"):
            with self.subTest(opening), self.assertRaises(PeerError) as caught:
                decode_heartbeat(opening * 20_000 + b"\x01")
            self.assertLess(len(str(caught.exception)), 300)


class FuzzTest(unittest.TestCase):
    """Seeded mutations: a decoder raises its declared error, and nothing else."""

    def fuzz(self, samples, decode, error, *, rounds=ROUNDS):
        source = random.Random(SEED)
        failed = 0
        for number in range(rounds):
            data = mutate(source.choice(samples), source)
            try:
                decode(data)
            except error:
                failed += 1
            except BaseException as unexpected:
                self.fail(f"{number}: {unexpected!r} from {data[:200]!r}")
        self.assertGreater(failed, rounds // 10)

    def test_answers_of_the_store(self):
        item = {"metadata": {"name": "a", "revision": 3}, "spec": ENTRY, "status": None}
        event = {"object": item, "deleted": False}
        page = {"items": [item, item], "more-pages": False, "current-rev": 5}
        changes = {"events": [event, event], "current-rev": 5}
        for value, decode in (
            (item, decode_object),
            (page, decode_page),
            (changes, decode_changes),
        ):
            with self.subTest(decode.__name__):
                self.fuzz([msgspec.json.encode(value)], decode, InvalidAnswer)

    def test_entries_of_upstreams(self):
        item = {"metadata": {"name": "a", "revision": 3}, "spec": ENTRY}

        def decode(data):
            found = decode_object(data)
            upstream = decode_upstream(found.name, found.spec)
            self.assertTrue(math.isfinite(upstream.started_at + upstream.cold_until))
            msgspec.msgpack.encode([upstream.name, upstream.service, upstream.slots])

        self.fuzz([msgspec.json.encode(item)], decode, ValueError)

    def test_datagrams(self):
        samples = [
            msgspec.msgpack.encode(build_values()),
            msgspec.msgpack.encode(
                build_values(
                    running={"u": 1},
                    crashes={"d": [1, 2]},
                    upstream_rates={"u": [1.0, 2.0, 3.0]},
                    upstream_results={"u": [1.0, 2.0, 3.0, 4.0]},
                    answer=[5, 6],
                )
            ),
        ]

        def decode(payload):
            heartbeat = decode_heartbeat(payload)
            datagrams.HeartbeatEncoder(heartbeat).encode([1, 2])

        self.fuzz(samples, decode, PeerError)

    def test_frames(self):
        codec = MessageCodec()
        codec.register_module(generated_messages)
        hello = codec.dump(generated_messages.Hello("a", 1, 2, 1))
        failure = codec.dump(generated_messages.Failure("code", "detail", "no", 1.5))
        samples = [msgpack.packb([4, 7, *each]) for each in (hello, failure)]

        def decode(payload):
            for kind, _, *rest in FrameReader().feed(
                HEADER.pack(len(payload)) + payload
            ):
                codec.load(*(rest + [None, None])[:2])

        self.fuzz(samples, decode, FrameError)

    def test_nested_frames(self):
        for payload in (
            b"\x91" * DEEP + b"\x01",
            b"\x81\xa1a" * DEEP + b"\x01",
            b"\x93\x04\x07" + b"\x81\x91\x01\x01",
        ):
            with self.subTest(payload[:4]), self.assertRaises(FrameError):
                FrameReader().feed(HEADER.pack(len(payload)) + payload)

    def test_configurations(self):
        """Odd values in each field of a configuration."""

        def replace_each(value):
            """Yield copies of a JSON value with one part replaced by `marker`."""
            if isinstance(value, dict):
                for name, part in value.items():
                    for changed in replace_each(part):
                        yield {**value, name: changed}
            elif isinstance(value, list):
                for index, part in enumerate(value):
                    for changed in replace_each(part):
                        yield [*value[:index], changed, *value[index + 1 :]]
            yield "marker"

        for changed in replace_each(build_configuration()):
            text = msgspec.json.encode(changed).decode()
            for name, odd in ODD_VALUES.items():
                item = '{"metadata":{"name":"main","revision":3},"spec":%s}' % (
                    text.replace('"marker"', odd)
                )
                with self.subTest(name):
                    spec = decode_object(item.encode()).spec
                    try:
                        table = decode_configuration(spec)
                    except ValueError as error:
                        self.assertLess(len(str(error)), 1000)
                        continue
                    self.check_table(table)

    def check_table(self, table):
        configuration = Configuration(Clock(), withdrawal_seconds=5.0)
        configuration.apply(table)
        numbers = [configuration.describe()["configuration_version"]]
        for route in table.routes:
            numbers += [route.timeout, route.target_latency, route.attempts]
            numbers += [route.retention or 0, route.priority]
            route.choose_service("key")
        for service in table.services.values():
            numbers += [service.connections, service.cold_rate]
        for customer in table.customers.values():
            if customer.quota is not None:
                numbers += [customer.quota.rate, customer.quota.burst]
        self.assertTrue(all(map(math.isfinite, numbers)), numbers)
        msgspec.msgpack.encode(numbers)


if __name__ == "__main__":
    unittest.main()
