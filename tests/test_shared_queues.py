"""Slots that the home of a service's queue grants to all hosts."""

import asyncio
import unittest
from contextlib import AsyncExitStack, aclosing
from types import SimpleNamespace

from sapphireyard.clocks import Clock
from sapphireyard.exceptions import CallError, PeerError, PeerUnavailable
from sapphireyard.exchange.calls import Upstream
from sapphireyard.exchange.pools import UpstreamPools
from sapphireyard.exchange.routes import EngineLimits, Service
from sapphireyard.fleet.generated_fleet import Heartbeat
from sapphireyard.fleet.membership import ENTRY, Membership
from sapphireyard.scheduling.queue_home import QueueHost, choose_queue_home
from sapphireyard.scheduling.scheduling import SlotRequest
from sapphireyard.streams.frames import MessageCodec
from sapphireyard.streams.peers import PeerContext

HOSTS = ("a", "b", "c")
HOME = "a"
SLOTS = 4
"""Of each of two engines."""


class LinkedPeers:
    """Connects the hosts of one process; a host may be lost, silent or old."""

    def __init__(self, host, fleet):
        self._host = host
        self._fleet = fleet
        self.codec = MessageCodec()
        self.handlers = {}
        self.state = "sound"
        self.serving = set()

    def register_stream(self, message_class, handler):
        self.handlers[message_class] = handler

    async def stream(self, host, message, *, timeout):
        peers = self._fleet[host].peers
        if peers.state == "lost":
            raise PeerUnavailable(f"{host} is gone", sent=False)
        if peers.state == "old":
            raise CallError("internal_error", "no handler for the message")
        if peers.state == "silent":
            await asyncio.Event().wait()
        message = self.codec.load(*self.codec.dump(message))
        handler = peers.handlers[type(message)]
        answers = asyncio.Queue()

        async def serve():
            try:
                async with aclosing(handler(message, PeerContext(self._host, 1))) as it:
                    async for answer in it:
                        answers.put_nowait(answer)
            except (CallError, PeerError) as error:
                answers.put_nowait(error)

        task = asyncio.ensure_future(serve())
        peers.serving.add(task)
        try:
            while True:
                answer = await answers.get()
                if isinstance(answer, Exception):
                    raise answer
                yield answer
        finally:
            task.cancel()
            peers.serving.discard(task)


class SharedQueuesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = {}
        self.numbers = dict.fromkeys(HOSTS, 0)
        for host in HOSTS:
            runtime = SimpleNamespace(
                host=host,
                clock=Clock(),
                settings=SimpleNamespace(cores=2.0 if host == HOME else 1.0),
                gossip=SimpleNamespace(membership=Membership(host), effort=0.001),
                metrics=SimpleNamespace(count=lambda *a, **k: 0),
                peers=LinkedPeers(host, self.fleet),
            )
            pools = runtime.pools = UpstreamPools(runtime)
            engine = EngineLimits(SLOTS, 90_000, 14)
            pools.set_services({"engine": Service("engine", 100, engine)})
            pools.set_upstreams(
                [Upstream(f"e{n}", "engine", "127.0.0.1:1", slots=SLOTS) for n in "12"]
            )
            self.fleet[host] = runtime
        self.beat()
        self.stack = await self.enterAsyncContext(AsyncExitStack())

    def beat(self, hosts=HOSTS):
        """Exchange heartbeats between some hosts, and choose the homes."""
        for host in hosts:
            self.numbers[host] += 1
            pools = self.fleet[host].pools
            heartbeat = Heartbeat(
                host,
                1,
                self.numbers[host],
                "-",
                ENTRY,
                "x",
                cores=self.fleet[host].settings.cores,
                effort=0.001,
                running=pools.running,
                reserved=pools.reserved,
                granted=pools.granted.count_running(),
                granted_tokens=pools.granted.count_tokens(),
            )
            for other in hosts:
                if other == host:
                    continue
                runtime = self.fleet[other]
                now = runtime.clock.monotonic()
                member = runtime.gossip.membership.record_heartbeat(heartbeat, now)
                runtime.pools.update_remote_load(member, now)
        for host in hosts:
            runtime = self.fleet[host]
            runtime.pools.shared.update(runtime.clock.monotonic())

    def lease(self, host, program, *, seconds=3.0, **fields):
        runtime = self.fleet[host]
        deadline = runtime.clock.monotonic() + seconds
        request = SlotRequest(
            program,
            program,
            "c",
            "engine",
            deadline=deadline,
            aim_at=deadline,
            **fields,
        )
        return runtime.pools.lease(request)

    async def take(self, host, count):
        """Take slots through a host; return how many each engine has got."""
        names = []
        for number in range(count):
            upstream = await self.stack.enter_async_context(
                self.lease(host, f"{host}{number}")
            )
            names.append(upstream.name)
        return sorted(names.count(name) for name in ("e1", "e2"))

    async def test_hosts_between_two_heartbeats_do_not_exceed_the_slots(self):
        """Without a home, both hosts take the slots that each of them believes free."""
        await self.take("b", 3)
        self.beat()
        await self.take("b", 2)
        await self.take("c", 3)
        with self.assertRaises(CallError) as caught:
            async with self.lease("c", "late", seconds=0.05):
                pass
        self.assertEqual(caught.exception.code, "overloaded")
        running = [self.fleet[host].pools.running for host in "bc"]
        for name in ("e1", "e2"):
            self.assertLessEqual(sum(each.get(name, 0) for each in running), SLOTS)

    async def test_a_waiting_request_gets_the_slot_that_another_host_returns(self):
        await self.take("b", 3)
        self.beat()
        await self.take("b", 4)
        async with self.lease("c", "first"):
            urgent = asyncio.ensure_future(self.hold("c", "urgent"))
            await asyncio.sleep(0.02)
            self.assertFalse(urgent.done())
        await urgent

    async def hold(self, host, program, **fields):
        async with self.lease(host, program, **fields) as upstream:
            return upstream.name

    async def test_the_more_urgent_request_of_any_host_goes_first(self):
        await self.take("b", 3)
        self.beat()
        await self.take("b", 4)
        order = []

        async def run(host, program, priority):
            async with self.lease(host, program, priority=priority):
                order.append(program)

        async with self.lease("b", "last"):
            tasks = [asyncio.ensure_future(run("b", "x1", 2))]
            await asyncio.sleep(0.01)
            tasks.append(asyncio.ensure_future(run("c", "x2", 0)))
            await asyncio.sleep(0.01)
        await asyncio.gather(*tasks)
        self.assertEqual(order, ["x2", "x1"])

    async def test_a_host_grants_slots_itself_without_an_answer_of_the_home(self):
        for state in ("lost", "old", "silent"):
            with self.subTest(state=state):
                await self.take("b", 3)
                self.beat()
                self.fleet[HOME].peers.state = state
                waiting = asyncio.ensure_future(self.hold("c", "p", seconds=2.0))
                await asyncio.sleep(0.02)
                if state == "silent":
                    self.assertFalse(waiting.done())
                    await asyncio.sleep(0.8)  # the home counts as out of touch
                    self.beat(("b", "c"))
                async with asyncio.timeout(0.5):
                    self.assertIn(await waiting, ("e1", "e2"))
                self.fleet[HOME].peers.state = "sound"
                await self.stack.aclose()
                self.beat()

    async def test_slots_of_a_host_that_is_lost_are_free_again(self):
        await self.take("b", 3)
        self.beat()
        await self.take("b", 4)
        for task in list(self.fleet[HOME].peers.serving):
            task.cancel()
        await asyncio.sleep(0.01)
        self.assertEqual(self.fleet[HOME].pools._pools["engine"].scheduler.running, 0)

    async def test_few_requests_need_no_home(self):
        self.fleet[HOME].peers.state = "silent"
        self.assertEqual(await self.take("b", 2), [1, 1])

    async def test_requests_are_counted_once_at_the_home(self):
        await self.take("b", 3)
        self.beat()
        await self.take("b", 2)
        self.beat()
        scheduler = self.fleet[HOME].pools._pools["engine"].scheduler
        self.assertEqual(scheduler.used, 5)
        self.assertEqual(self.fleet["c"].pools._pools["engine"].scheduler.used, 5)


class QueueHomeTest(unittest.TestCase):
    def test_homes(self):
        """Cases are the hosts, the rank of the service, and the home."""
        large, small, slow = (
            QueueHost("l", 2.0, 0.001),
            QueueHost("s", 0.5, 0.001),
            QueueHost("x", 4.0, 0.01),
        )
        cases = [
            ([], 0, None),
            ([small], 0, "s"),
            ([small, large], 0, "l"),
            ([small, large], 1, "s"),
            ([small, large], 2, "l"),
            ([small, large, slow], 0, "l"),
            ([small, QueueHost("l", 2.0, isolated=True)], 0, "s"),
            ([small, QueueHost("l", 2.0, leaving=True)], 0, "s"),
            ([QueueHost("l", 2.0, isolated=True)], 0, None),
        ]
        for hosts, rank, home in cases:
            with self.subTest(hosts=hosts, rank=rank):
                self.assertEqual(choose_queue_home(hosts, rank), home)


if __name__ == "__main__":
    unittest.main()
