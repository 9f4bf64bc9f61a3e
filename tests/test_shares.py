"""Tests of the limit service with three hosts in one process."""

import asyncio
import time
import types
import unittest

from sapphireyard.clocks import Clock
from sapphireyard.exceptions import CallError, PeerUnavailable
from sapphireyard.limits.homes import choose_home
from sapphireyard.limits.shares import LimitService
from sapphireyard.ownership.assignment import Assignment, Member

HOSTS = ("a", "b", "c")
CUSTOMER = "acme"
LEASE = 0.3


class Network:
    """Calls the handlers of other hosts directly, except of those in `down`."""

    def __init__(self):
        self.peers = {}
        self.down = set()


class FakePeers:
    def __init__(self, network, host):
        self.network = network
        self.host = host
        self.handlers = {}
        self.codec = types.SimpleNamespace(register_module=lambda module: None)
        network.peers[host] = self

    def register(self, message_class, handler):
        self.handlers[message_class] = handler

    async def ask(self, host, message, *, timeout):
        if {host, self.host} & self.network.down:
            raise PeerUnavailable(host)
        await asyncio.sleep(0)
        context = types.SimpleNamespace(host=self.host, incarnation=1)
        return await self.network.peers[host].handlers[type(message)](message, context)


class FakeOwnership:
    def __init__(self):
        self.assignment = None
        self.valid_now = True

    def is_valid(self, now):
        return self.valid_now

    def fetch_if_newer(self, host, version):
        pass


class LimitServiceTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.network = Network()
        self.customer = types.SimpleNamespace(rate=20.0, burst=10.0, weight=1.0)
        self.services = {host: self.make(host) for host in HOSTS}
        self.version = 0
        self.assign(HOSTS)
        for service in self.services.values():
            await service.start()
            self.addAsyncCleanup(service.stop)
        self.home = choose_home(CUSTOMER, HOSTS)
        self.others = [host for host in HOSTS if host != self.home]
        self.began_at = time.monotonic()

    def make(self, host):
        current = types.SimpleNamespace(customers={CUSTOMER: self.customer})
        runtime = types.SimpleNamespace(
            host=host,
            incarnation=1,
            clock=Clock(),
            peers=FakePeers(self.network, host),
            ownership=FakeOwnership(),
            configuration=types.SimpleNamespace(current=current),
        )
        return LimitService(runtime, lease=LEASE)

    def assign(self, members, leaving=()):
        self.version += 1
        self.assignment = Assignment(
            self.version,
            {
                host: Member(
                    host,
                    1,
                    "",
                    "",
                    "domain",
                    state="leaving" if host in leaving else "active",
                )
                for host in members
            },
        )
        for service in self.services.values():
            service.runtime.ownership.assignment = self.assignment

    async def acquire(self, host, seconds=5.0):
        deadline = time.monotonic() + seconds
        await self.services[host].acquire(CUSTOMER, deadline=deadline)

    async def count(self, calls, seconds):
        """Return how many calls, spread over all hosts, are admitted in time."""
        results = await asyncio.gather(
            *(self.acquire(HOSTS[n % 3], seconds) for n in range(calls)),
            return_exceptions=True,
        )
        for result in results:
            self.assertTrue(result is None or result.code == "rate_exceeded", result)
        return results.count(None)

    async def test_hosts_share_one_bucket(self):
        await self.acquire(self.others[0])
        admitted = 1 + await self.count(60, 1.0)
        elapsed = time.monotonic() - self.began_at
        self.assertGreater(admitted, 10)
        self.assertLessEqual(admitted, 10 + 20 * elapsed)

    async def test_refusal_has_a_retry_time(self):
        await self.acquire(self.others[0])
        await self.count(60, 0.5)
        with self.assertRaises(CallError) as caught:
            await asyncio.gather(*(self.acquire(HOSTS[0], 0.01) for _ in range(20)))
        self.assertEqual(caught.exception.code, "rate_exceeded")
        self.assertGreater(caught.exception.retry_after, 0)

    async def test_takeover(self):
        cases = [
            ("dead home", True, ()),
            ("leaving home", False, (self.home,)),
        ]
        for name, dead, leaving in cases:
            with self.subTest(name):
                self.assign(HOSTS)
                await self.acquire(self.others[0])
                self.network.down = {self.home} if dead else set()
                self.assign([*self.others, *leaving], leaving)
                for host in self.others:
                    await self.acquire(host)
                self.network.down = set()

    async def test_home_that_may_be_sealed_grants_nothing(self):
        await self.acquire(self.home)
        self.services[self.home].runtime.ownership.valid_now = False
        with self.assertRaises(CallError):
            await asyncio.gather(*(self.acquire(self.home, 0.4) for _ in range(20)))

    async def test_cancelled_call_leaves_the_queue(self):
        await self.acquire(self.home)
        self.network.down = {self.home}
        waiting = asyncio.ensure_future(self.acquire(self.others[0]))
        await asyncio.sleep(0)
        waiting.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await waiting
        self.network.down = set()
        await self.acquire(self.others[0])

    async def test_unknown_customer(self):
        with self.assertRaises(CallError) as caught:
            await self.services["a"].acquire("nobody", deadline=time.monotonic() + 1)
        self.assertEqual(caught.exception.code, "not_allowed")


if __name__ == "__main__":
    unittest.main()
