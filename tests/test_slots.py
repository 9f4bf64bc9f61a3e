"""Tests of slots between hosts: leases, heartbeats, homes that move or fail."""

import asyncio
import unittest
from collections import Counter
from types import SimpleNamespace

from sapphireyard.configuration.generated_tables import PoolRow
from sapphireyard.exceptions import CallError, NotHome
from sapphireyard.ownership.assignment import Member
from sapphireyard.scheduling.capacity import UpstreamState
from sapphireyard.scheduling.generated_slots import SlotHeartbeat
from sapphireyard.scheduling.groups import find_home, pick_group, split_groups
from sapphireyard.scheduling.slot_homes import LEARNING_SECONDS, LEASE_SECONDS
from sapphireyard.scheduling.slots import (
    FALLBACK_DELAY_SECONDS,
    SlotRequest,
    SlotService,
)
from tests.fleet import FakePeers, Network, VirtualClock

HOSTS = ("a", "b", "c")


def make_pool(*, batch_size=4, upstreams=1, leaving=()):
    """Return a pool as in the configuration."""
    names = [f"engine-{number}" for number in range(upstreams)]
    rows = [
        {
            "name": name,
            "address": f"127.0.0.1:{number + 1}",
            "state": "leaving" if name in leaving else "active",
        }
        for number, name in enumerate(names)
    ]
    return PoolRow(
        name="models", upstreams=rows, batch_size=batch_size, kv_tokens=10_000
    )


def make_configuration(pool, *, kind="model"):
    """Return a configuration with one pool and one route."""
    return SimpleNamespace(
        pools={pool.name: pool},
        routes={"chat": SimpleNamespace(pool=pool.name, kind=kind)},
        customers={"big": SimpleNamespace(weight=2.0)},
    )


def make_member(host, state="active"):
    """Return a member of the assignment."""
    return Member(host, 1, f"{host}:1", f"{host}:2", host, state=state)


class Hosts:
    """Hosts with slot services and one virtual clock, without sockets."""

    def __init__(self, pool, **options):
        self.configuration = make_configuration(pool, **options)
        self.network = Network()
        self.clock = VirtualClock()
        self.members = {host: make_member(host) for host in HOSTS}
        self.runtimes = {host: self.start(host) for host in HOSTS}
        self.clock.now += LEARNING_SECONDS
        self.home = find_home("models/0", self.members)
        self.others = [host for host in HOSTS if host != self.home]

    def start(self, host):
        """Start a host, or a new process of it."""
        runtime = SimpleNamespace(
            host=host,
            incarnation=1,
            clock=self.clock,
            configuration=SimpleNamespace(current=self.configuration),
            ownership=SimpleNamespace(assignment=SimpleNamespace(members=self.members)),
            upstreams=None,
        )
        runtime.peers = self.network.peers[host] = FakePeers(runtime, self.network)
        runtime.slots = SlotService(runtime)
        return runtime

    def leave(self, host):
        """Mark a host as leaving in a new assignment."""
        self.members = {**self.members, host: make_member(host, "leaving")}
        for runtime in self.runtimes.values():
            runtime.ownership.assignment = SimpleNamespace(members=self.members)

    def slots(self, host):
        return self.runtimes[host].slots

    @property
    def scheduler(self):
        return self.slots(self.home).homes["models/0"].scheduler

    async def pass_time(self, seconds):
        """Advance the clock and run the due work of every reachable host."""
        self.clock.now += seconds
        for host in HOSTS:
            if host not in self.network.cut:
                await self.slots(host).send_heartbeats()
        for host in HOSTS:
            self.slots(host).tick()
        await settle()

    async def learn(self):
        """Create the home and advance the clock past its learning time."""
        async with self.slots(self.others[0]).lease(make_request()):
            pass
        await self.pass_time(LEARNING_SECONDS)


async def settle():
    """Let all runnable tasks proceed."""
    for _ in range(20):
        await asyncio.sleep(0)


def make_request(number=0, **fields):
    """Return a request of its own program."""
    fields = {"new_tokens": 100, "output_tokens": 10, **fields}
    return SlotRequest(f"p{number}", f"p{number}", "c", "models", **fields)


class Holding:
    """A task that holds a lease until `end` is called."""

    def __init__(self, slots, request):
        self.lease = None
        self.ended = asyncio.Event()
        self.task = asyncio.ensure_future(self.run(slots, request))

    async def run(self, slots, request):
        async with slots.lease(request) as self.lease:
            await self.ended.wait()

    async def end(self):
        self.ended.set()
        await self.task
        await settle()


class SlotServiceTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, *, kind="model", **options):
        hosts = Hosts(make_pool(**options), kind=kind)
        await hosts.learn()
        return hosts

    async def hold(self, hosts, host, number, **fields):
        holding = Holding(hosts.slots(host), make_request(number, **fields))
        await settle()
        self.addCleanup(holding.task.cancel)
        return holding

    async def test_home_without_a_configuration_is_asked(self):
        """The message to a host that had just started failed with AttributeError."""
        hosts = Hosts(make_pool())
        hosts.runtimes[hosts.home].configuration.current = None
        peers = hosts.runtimes[hosts.others[0]].peers
        with self.assertRaises(NotHome):
            await peers.ask(hosts.home, SlotHeartbeat("models", 0), timeout=1)

    async def test_grants_up_to_the_batch_then_queues(self):
        hosts = await self.start(batch_size=2)
        with self.assertLogs("sapphireyard.scheduling.slot_homes", "INFO") as logs:
            held = [await self.hold(hosts, host, n) for n, host in enumerate(HOSTS)]
        self.assertEqual(sum(h.lease is not None for h in held), 2)
        record = logs.records[0]
        self.assertEqual(record.decision, "placement")
        self.assertEqual((record.upstream, record.among), ("engine-0", ["engine-0"]))
        await held[0].end()
        self.assertEqual(held[2].lease.upstream.address, "127.0.0.1:1")

    async def test_usage_reports_locate_the_prefix(self):
        hosts = await self.start(upstreams=3)
        host = hosts.others[0]
        async with hosts.slots(host).lease(make_request(1)) as first:
            first.report(output_tokens=100, cached_tokens=0)
        await settle()
        request = make_request(1, prefix_tokens=200)
        async with hosts.slots(host).lease(request) as second:
            self.assertEqual(second.upstream, first.upstream)
            self.assertEqual(second.cached_tokens, 200)

    async def test_a_cancelled_caller_leaves_the_queue(self):
        hosts = await self.start(batch_size=1)
        held = [await self.hold(hosts, hosts.others[0], n) for n in range(3)]
        held[1].task.cancel()
        await settle()
        self.assertEqual(hosts.scheduler.waiting, 1)
        held[0].task.cancel()
        await settle()
        self.assertIsNotNone(held[2].lease)

    async def test_refuses_when_the_deadline_passes(self):
        hosts = await self.start(batch_size=1)
        await self.hold(hosts, hosts.others[0], 1)
        late = await self.hold(
            hosts, hosts.others[1], 2, deadline=hosts.clock.now + 3.0
        )
        await hosts.pass_time(3.5)
        with self.assertRaises(CallError) as caught:
            await late.task
        error = caught.exception
        self.assertEqual((error.code, error.executed), ("overloaded", "no"))
        self.assertGreater(error.retry_after, 0)

    async def test_slots_of_a_silent_holder_return(self):
        hosts = await self.start(batch_size=1)
        silent, alive = hosts.others
        await self.hold(hosts, silent, 1)
        waiting = await self.hold(hosts, alive, 2)
        hosts.network.cut.add(silent)
        await hosts.pass_time(LEASE_SECONDS / 2)
        self.assertIsNone(waiting.lease)
        await hosts.pass_time(LEASE_SECONDS / 2)
        self.assertIsNotNone(waiting.lease)

    async def test_a_long_wait_does_not_count_as_silence(self):
        hosts = await self.start(batch_size=1)
        first = await self.hold(hosts, hosts.others[0], 1)
        waiting = await self.hold(hosts, hosts.others[1], 2)
        for _ in range(4):
            await hosts.pass_time(LEASE_SECONDS / 2)
        await first.end()
        hosts.slots(hosts.home).tick()
        await settle()
        self.assertIsNotNone(waiting.lease)
        self.assertEqual(hosts.scheduler.running, 1)

    async def test_a_grant_that_never_arrived_is_taken_back(self):
        hosts = await self.start(batch_size=1)
        home = hosts.slots(hosts.home).homes["models/0"]
        request = make_request(1, request_id="lost", holder=hosts.others[0])
        await home.ask(request)
        for left in (1, 0):
            home.renew(hosts.others[0], SlotHeartbeat("models", 0))
            self.assertEqual(hosts.scheduler.running, left)

    async def test_a_new_home_learns_what_is_held(self):
        hosts = await self.start(batch_size=4)
        held = [await self.hold(hosts, hosts.others[0], n) for n in range(4)]
        self.assertTrue(all(holding.lease for holding in held))
        hosts.leave(hosts.home)
        hosts.home = find_home("models/0", hosts.members)
        late = [await self.hold(hosts, hosts.others[1], 9 + n) for n in range(3)]
        self.assertEqual(sum(h.lease is not None for h in late), 1)
        await hosts.pass_time(LEARNING_SECONDS)
        self.assertEqual(hosts.scheduler.running, 5)
        await held[0].end()
        await held[1].end()
        self.assertEqual(sum(h.lease is not None for h in late), 2)

    async def test_falls_back_to_a_bounded_local_choice_without_a_home(self):
        hosts = await self.start(batch_size=6)
        hosts.network.cut.add(hosts.home)
        host = hosts.others[0]
        held = [await self.hold(hosts, host, n) for n in range(3)]
        hosts.clock.now += FALLBACK_DELAY_SECONDS
        results = await asyncio.wait([h.task for h in held], timeout=0.5)
        self.assertEqual(sum(h.lease is not None for h in held), 2)
        (refused,) = results[0]
        self.assertEqual(refused.exception().code, "overloaded")

    async def test_leaving_upstreams_get_nothing(self):
        hosts = await self.start(upstreams=2)
        for name in ("engine-0", "engine-1"):
            hosts.slots(hosts.home).set_state("models", name, UpstreamState.LEAVING)
            held = [await self.hold(hosts, hosts.others[0], n) for n in range(3)]
            names = {holding.lease.upstream.name for holding in held}
            self.assertEqual(len(names | {name}), 2)
            for holding in held:
                await holding.end()
            hosts.slots(hosts.home).set_state("models", name, UpstreamState.UP)

    async def test_plain_services_are_bounded_and_spread(self):
        hosts = await self.start(kind="service", upstreams=3)
        held = [await self.hold(hosts, hosts.others[0], n) for n in range(25)]
        names = Counter(h.lease.upstream.name for h in held if h.lease)
        self.assertEqual(sorted(names.values()), [8, 8, 8])

    async def test_pool_changes_are_applied(self):
        hosts = await self.start(batch_size=1)
        await self.hold(hosts, hosts.others[0], 1)
        waiting = await self.hold(hosts, hosts.others[0], 2)
        third = await self.hold(hosts, hosts.others[0], 3)
        for leaving in (("engine-1",), ()):
            self.assertIsNone(waiting.lease)
            pool = make_pool(batch_size=1, upstreams=2, leaving=leaving)
            for runtime in hosts.runtimes.values():
                runtime.configuration.current = make_configuration(pool)
            await hosts.pass_time(0.1)
        self.assertEqual(waiting.lease.upstream.name, "engine-1")
        self.assertIsNone(third.lease)


class GroupsTest(unittest.TestCase):
    def test_groups_are_bounded_and_even(self):
        for count, groups in ((1, 1), (16, 1), (17, 2), (400, 25)):
            with self.subTest(count=count):
                found = split_groups(make_pool(upstreams=count))
                sizes = [len(group.upstreams) for group in found]
                self.assertEqual((len(found), sum(sizes)), (groups, count))
                self.assertLessEqual(max(sizes) - min(sizes), 1)

    def test_roots_and_homes_are_spread(self):
        groups = split_groups(make_pool(upstreams=64))
        used = {pick_group(groups, f"root-{n}").number for n in range(100)}
        self.assertEqual(used, {0, 1, 2, 3})
        moved = [
            pick_group(groups, f"root-{n}") != pick_group(groups[:3], f"root-{n}")
            for n in range(400)
        ]
        self.assertLess(sum(moved), 150)
        members = {host: make_member(host) for host in HOSTS}
        homes = {find_home(f"pool/{n}", members) for n in range(50)}
        self.assertEqual(homes, set(HOSTS))
        self.assertIsNone(find_home("pool/0", {"a": make_member("a", "leaving")}))
