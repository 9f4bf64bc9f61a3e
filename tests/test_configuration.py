"""Tests of tables, keys, manifests and the configuration service."""

import asyncio
import tempfile
import unittest
from pathlib import Path
from types import SimpleNamespace
from unittest import mock

from hypothesis import given, settings, strategies as st

from sapphireyard.clocks import Clock
from sapphireyard.configuration.configuration import ConfigurationService
from sapphireyard.configuration.generated_configuration import (
    ConfigurationAnswer,
    Manifest,
)
from sapphireyard.configuration.keys import create_key, digest_key
from sapphireyard.configuration.manifests import (
    ManifestRepository,
    decode_manifest,
    diff_manifests,
    encode_manifest,
    patch_manifest,
)
from sapphireyard.configuration.tables import check_rows
from sapphireyard.exceptions import CallError, PeerUnavailable, StoreConflict
from sapphireyard.logs import KEY_PREFIX
from sapphireyard.operators._table_files import load_files
from sapphireyard.operators.site import Site
from sapphireyard.streams.frames import MessageCodec
from standins.memory import LOSE, MemoryStore
from tests.fleet import write_members

TABLES = {
    "routes": [
        {"name": "chat", "kind": "model", "pool": "engines", "repeatable": True}
    ],
    "pools": [
        {
            "name": "engines",
            "upstreams": [{"name": "e1", "address": "127.0.0.1:9"}],
        }
    ],
    "customers": [{"name": "east", "rate": 5, "burst": 10}],
    "keys": [],
}

FAULTY = """\
routes:
  - {name: chat, kind: model, pool: none, repeatable: true, customers: [west]}
  - name: book/it
    kind: service
    pool: engines
    repeatable: false
    hedge: true
  - {name: chat, kind: other, pool: engines, repeatable: true}
pools:
  - name: engines
    kv_tokens: -1
    kv_tokens: -2
    upstreams:
      - {name: e1, address: 127.0.0.1:99999}
      - {name: e1, address: 127.0.0.1:9, colour: red}
customers:
  - {name: public, rate: .inf, burst: 1}
others: []
"""


class TableFileTest(unittest.TestCase):
    def collect_findings(self, text):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "t.yaml"
            path.write_text(text)
            rows, _, findings = load_files([path])
            found = findings + check_rows(rows)
            return {str(f).replace(f"{path}:", "") for f in found}

    def test_reports_all_findings_at_once(self):
        found = self.collect_findings(FAULTY)
        expected = [
            "2 routes[0] 'chat', pool: no pool is named 'none'",
            "2 routes[0] 'chat', customers[0]: no customer is named 'west'",
            "3 routes[1] 'book/it', name: the name of a service route must not "
            "contain /",
            "3 routes[1] 'book/it', hedge: only repeatable routes may hedge",
            "8 routes[2] 'chat', kind: Input should be 'model' or 'service'",
            "10 pools[0] 'engines', kv_tokens: Input should be greater than or "
            "equal to 1",
            "10 pools[0] 'engines', upstreams[0].address: must be IP:PORT",
            "10 pools[0] 'engines', upstreams[1].colour: Extra inputs are not "
            "permitted",
            "12: duplicate key 'kv_tokens'",
            "17 customers[0] 'public', rate: must be a finite number",
            "17 customers[0] 'public', name: 'public' is reserved for open routes",
            "18: 'others' is not a table; known: routes, pools, customers",
        ]
        for finding in expected:
            with self.subTest(finding):
                self.assertIn(finding, found)
        self.assertEqual(len([f for f in found if "is already defined" in f]), 2)

    def test_broken_files(self):
        for text in ("routes: [", "- a list", "routes: {}"):
            with self.subTest(text):
                self.assertEqual(len(self.collect_findings(text)), 1)


class Network:
    """Delivers messages between hosts in one process; hosts can be cut off."""

    def __init__(self):
        self.hosts = {}
        self.cut = set()
        self.asks = 0


class LocalPeers:
    """The interface of `Peers` on a `Network`."""

    def __init__(self, network, host):
        self.network, self.host = network, host
        self.codec = MessageCodec()
        self.handlers = {}
        self.static_addresses = {}
        network.hosts[host] = self

    def register(self, message_class, handler):
        self.handlers[message_class] = handler

    def on_hello(self, callback):
        self.hello = callback

    def tell(self, host, message):
        """Drop every notice, so that hosts learn of versions only by queries."""

    async def ask(self, host, message, *, timeout):
        self.network.asks += 1
        if {host, self.host} & self.network.cut:
            raise PeerUnavailable("cut", sent=False)
        handler = self.network.hosts[host].handlers[type(message)]
        return await handler(message, SimpleNamespace(host=self.host, incarnation=1))


class VirtualClock(Clock):
    now = 100.0

    def monotonic(self):
        return self.now


async def wait_for(condition):
    """Wait until `condition` holds."""
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.002)


class ServiceTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.clock = VirtualClock()
        self.store = MemoryStore()
        self.network = Network()
        self.repository = ManifestRepository(self.store)
        self.names = ("h1", "h2", "h3")
        members = {host: SimpleNamespace(failure_domain="a") for host in self.names}
        self.members = members
        self.ownership = SimpleNamespace(assignment=SimpleNamespace(members=members))

    async def start(self, name, *, store=None):
        runtime = SimpleNamespace(
            host=name,
            clock=self.clock,
            store=store or self.store,
            ownership=self.ownership,
            peers=LocalPeers(self.network, name),
            settings=SimpleNamespace(
                withdrawal_seconds=8.0,
                failure_domain=self.members[name].failure_domain,
            ),
        )
        service = ConfigurationService(
            runtime, watchers_per_domain=1, poll_seconds=0.005
        )
        await service.start()
        self.addAsyncCleanup(service.stop)
        return service

    async def advance_clock(self, seconds):
        """Advance the virtual clock while the hosts continue to query."""
        for _ in range(seconds):
            self.clock.now += 1
            before = self.count_queries()
            await wait_for(lambda before=before: self.count_queries() > before + 6)

    def count_queries(self):
        return self.network.asks + self.store.calls.total()

    async def publish(self, tables=TABLES):
        manifest, version, _ = await self.repository.read_tables()
        return await self.repository.write(
            tables,
            base=manifest,
            object_version=version,
            author="a",
            note="n",
            now=1.0,
        )

    async def issue_key(self, state="active"):
        key = create_key()
        manifest, _, tables = await self.repository.read_tables()
        digest = digest_key(key, manifest.salt)
        tables["keys"].append({"digest": digest, "customer": "east", "state": state})
        await self.publish(tables)
        return key

    async def test_versions_and_keys_reach_every_host(self):
        hosts = [await self.start(name) for name in self.names]
        for host in hosts:
            with self.assertRaises(CallError) as caught:
                host.check_fresh()
            self.assertEqual(caught.exception.code, "configuration_stale")
        await self.publish()
        key = await self.issue_key()
        withdrawn = await self.issue_key("withdrawn")
        await wait_for(lambda: all(host.version == 3 for host in hosts))
        for host in hosts:
            await wait_for(lambda host=host: host.age_seconds == 0)
            host.check_fresh()
            self.assertEqual(host.authenticate(key).customer, "east")
            for bad, code in ((withdrawn, "key_withdrawn"), ("syk_x", "key_unknown")):
                with self.assertRaises(CallError) as caught:
                    host.authenticate(bad)
                self.assertEqual(caught.exception.code, code)
            self.assertEqual(host.current.pools["engines"].upstreams[0].name, "e1")
        self.assertTrue(key.startswith(KEY_PREFIX))
        values = [stored.value for stored in self.store.objects]
        self.assertFalse([v for v in values if key.encode() in v])

    async def test_start_during_an_outage_takes_the_newest_version_of_its_peers(self):
        await self.publish()
        first = await self.start("h1")
        await wait_for(lambda: first.version == 1)
        second = await self.start("h2")
        await wait_for(lambda: second.version == 1)
        await self.publish()
        await wait_for(lambda: first.version == 2)
        self.store.unavailable = True
        third = await self.start("h3")
        await wait_for(lambda: third.version == 2)
        third.check_fresh()
        self.assertIn("chat", third.current.routes)

    async def test_hosts_cut_off_from_the_store_become_stale_together(self):
        await self.publish()
        hosts = [await self.start(name) for name in self.names]
        await wait_for(lambda: all(host.version == 1 for host in hosts))
        with self.store.outage():
            await self.advance_clock(15)
            for host in hosts:
                with self.assertRaises(CallError):
                    host.check_fresh()
        await wait_for(lambda: all(0 <= host.age_seconds < 8 for host in hosts))
        for host in hosts:
            host.check_fresh()

    async def test_outage_for_all_domains_leaves_hosts_fresh(self):
        for host, domain in zip(self.names, "abc", strict=True):
            self.members[host].failure_domain = domain
        await self.publish()
        hosts = [await self.start(name) for name in self.names]
        await wait_for(lambda: all(host.age_seconds == 0 for host in hosts))
        with self.store.outage():
            await self.advance_clock(15)
            for host in hosts:
                self.assertGreater(host.age_seconds, 8)
                host.check_fresh()
            self.network.cut.add("h1")
            await self.advance_clock(15)
            with self.assertRaises(CallError):
                hosts[0].check_fresh()

    async def test_unreadable_version_is_no_outage(self):
        """Hosts that hear each other must not vouch for the version before it.

        Cases are what stands in the store: a damaged manifest, none, and one whose
        parts are missing.
        """
        for name in ("damaged", "none", "parts"):
            with self.subTest(name):
                await self.asyncSetUp()
                for host, domain in zip(self.names, "abc", strict=True):
                    self.members[host].failure_domain = domain
                await self.publish()
                hosts = [await self.start(host) for host in self.names]
                await wait_for(lambda: all(host.age_seconds == 0 for host in hosts))
                await self.damage(name)
                self.clock.now += 5  # watchers ask their peers from now on
                await self.advance_clock(15)
                for host in hosts:
                    with self.assertRaises(CallError) as caught:
                        host.check_fresh()
                    self.assertEqual(caught.exception.code, "configuration_stale")
                    await host.stop()

    async def damage(self, name):
        """Leave a newer version in the store that no host can read."""
        stored = await self.store.get("config/manifest")
        if name == "none":
            await self.store.delete("config/manifest", expected_version=stored.version)
            return
        value = b"{"
        if name == "parts":
            manifest = decode_manifest(stored.value.decode())
            manifest.version += 1
            manifest.parts["keys"] = ["missing"]
            value = encode_manifest(manifest).encode()
        await self.store.update(
            "config/manifest", value, expected_version=stored.version
        )

    async def test_withdrawal_in_force_holds_in_an_outage(self):
        for host, domain in zip(self.names, "abc", strict=True):
            self.members[host].failure_domain = domain
        await self.publish()
        key = await self.issue_key()
        hosts = [await self.start(name) for name in self.names]
        await wait_for(lambda: all(host.version == 2 for host in hosts))
        await write_members(self.store, "abc")
        _, _, tables = await self.repository.read_tables()
        tables["keys"][0]["state"] = "withdrawn"
        await self.publish(tables)
        spread = await Site(self.store, clock=self.clock, author="a").wait_in_force()
        self.assertTrue(spread.in_force, spread)
        with self.store.outage():
            await self.advance_clock(15)
            for host in hosts:
                host.check_fresh()
                with self.assertRaises(CallError) as caught:
                    host.authenticate(key)
                self.assertEqual(caught.exception.code, "key_withdrawn")

    async def test_delta_that_does_not_apply_is_replaced_by_the_full_manifest(self):
        await self.publish()
        hosts = [await self.start(name) for name in self.names]
        await wait_for(lambda: all(host.version == 1 for host in hosts))
        for host in hosts:
            host._manifest.note = "damaged"
        await self.publish({**TABLES, "keys": []})
        await self.publish({**TABLES, "customers": []})
        await wait_for(lambda: all(host.version == 3 for host in hosts))
        for host in hosts:
            self.assertEqual(host.current.customers, {})

    async def test_new_versions_call_back(self):
        host = await self.start("h1")
        seen = []
        host.on_change(lambda configuration: seen.append(configuration.version))
        await self.publish()
        await self.publish()
        await wait_for(lambda: seen and seen[-1] == 2)
        self.assertEqual(seen, sorted(set(seen)))

    async def test_older_version_in_the_store_is_rejected(self):
        host = await self.start("h1")
        await self.publish()
        stored = await self.store.get("config/manifest")
        await self.publish()
        await wait_for(lambda: host.version == 2)
        await self.store.update("config/manifest", stored.value, expected_version=2)
        self.clock.now += 9
        await wait_for(lambda: host._store_version == 1)
        with self.assertRaises(CallError):
            host.check_fresh()
        self.assertEqual(host.version, 2)


PARTS = st.dictionaries(
    st.sampled_from(["routes", "keys"]), st.lists(st.sampled_from("abc"), max_size=3)
)


class DeltaTest(unittest.TestCase):
    @settings(max_examples=200, derandomize=True, deadline=None, database=None)
    @given(PARTS, PARTS)
    def test_delta_yields_the_new_manifest(self, before, after):
        old = Manifest(version=1, salt="aa", parts=before, author="a")
        new = Manifest(version=3, salt="aa", parts=after, note="n")
        delta = diff_manifests(old, new)
        self.assertEqual(patch_manifest(old, delta), new)
        for other in (None, Manifest(version=2, salt="aa", parts=before)):
            with self.assertRaises(ValueError):
                patch_manifest(other, delta)


class RepositoryTest(unittest.IsolatedAsyncioTestCase):
    async def write(self, repository, author, base, version):
        return await repository.write(
            TABLES,
            base=base,
            object_version=version,
            author=author,
            note="",
            now=0.0,
        )

    async def test_one_of_several_concurrent_writes_succeeds(self):
        for lost in (0, 1, 3):
            with self.subTest(lost=lost):
                store = MemoryStore()
                repository = ManifestRepository(store)
                base = await self.write(repository, "first", None, 0)
                if lost:
                    store.add_fault(
                        LOSE, operation="update", prefix="config/", count=lost
                    )
                results = await asyncio.gather(
                    *(self.write(repository, f"op{n}", base, 1) for n in range(4)),
                    return_exceptions=True,
                )
                winners = [r for r in results if not isinstance(r, Exception)]
                losers = [r for r in results if isinstance(r, StoreConflict)]
                self.assertEqual((len(winners), len(losers)), (1, 3))
                stored, _ = await repository.read()
                self.assertEqual(stored, winners[0])
                history = await repository.history(limit=9)
                self.assertEqual([m.version for m in history], [2, 1])

    async def test_change_of_one_row_rewrites_one_part(self):
        store = MemoryStore()
        repository = ManifestRepository(store)
        rows = [{"name": f"c{n}", "rate": 1, "burst": 1} for n in range(1300)]
        first = await repository.write(
            {"customers": rows},
            base=None,
            object_version=0,
            author="",
            note="",
            now=0.0,
        )
        rows[700]["rate"] = 2
        store.calls.clear()
        second = await repository.write(
            {"customers": rows},
            base=first,
            object_version=1,
            author="",
            note="",
            now=0.0,
        )
        changed = set(second.parts["customers"]) - set(first.parts["customers"])
        self.assertEqual(len(changed), 1)
        self.assertEqual(store.calls, {"create": 2, "update": 1})
        _, _, tables = await repository.read_tables()
        self.assertEqual(len(tables["customers"]), 1300)


class LateAnswerTest(unittest.TestCase):
    def test_delta_against_an_older_version_is_ignored(self):
        runtime = mock.MagicMock()
        runtime.settings.withdrawal_seconds = 8.0
        service = ConfigurationService(runtime)
        service._freshness.install(3)
        answer = ConfigurationAnswer(3, 0.0, delta='{"base": 2}')
        self.assertIsNone(service._read_answer(answer, 2))
        self.assertFalse(service._needs_full_manifest)
