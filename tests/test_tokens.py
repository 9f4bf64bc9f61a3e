"""Customers' tokens at hosts that stand by."""

import random
import unittest
from types import SimpleNamespace

from sapphireyard.exceptions import CallError, PeerUnavailable
from sapphireyard.exchange.requests import AdmittedRequest
from sapphireyard.exchange.routes import Customer, RouteTable
from sapphireyard.exchange.tokens import ASKED_HOSTS, TokenService
from sapphireyard.fleet.quotas import FleetQuotas, QuotaRule
from sapphireyard.streams.frames import MessageCodec
from tests import test_quotas

RULE = QuotaRule(4.0, 22.0)
BEAT_SECONDS = 0.2


class Peers:
    """Hands messages to the other hosts of the fleet."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._handlers = {}
        self.codec = MessageCodec()

    def register(self, message_class, handler):
        self._handlers[message_class] = handler

    async def ask(self, host, message, *, timeout):
        if host in self._fleet.lost:
            raise PeerUnavailable(f"no answer from {host}")
        return await self._fleet.hosts[host].serve(message)

    def tell(self, host, message):
        self._fleet.told.append((host, message))

    async def serve(self, message):
        return await self._handlers[type(message)](message, None)


class Host:
    """One entry host; the customer is known unless the fleet says otherwise."""

    def __init__(self, fleet, name, *, active):
        self.quotas = FleetQuotas(started_at=0.0)
        peers = Peers(fleet)
        self.serve = peers.serve
        contacts = [h for h in ("a0", "a1", "a2") if h != name]
        customers = {"c": Customer("c", RULE), "free": Customer("free")}
        self.runtime = SimpleNamespace(
            host=name,
            quotas=self.quotas,
            peers=peers,
            clock=SimpleNamespace(monotonic=lambda: fleet.now),
            gossip=SimpleNamespace(
                membership=SimpleNamespace(active=active),
                rotation=SimpleNamespace(list_contacts=lambda now: contacts),
            ),
            configuration=SimpleNamespace(table=RouteTable(customers=customers)),
        )
        self.service = TokenService(self.runtime)


class Fleet:
    """Active hosts that exchange counts, and others that stand by."""

    def __init__(self, active, standby):
        self.now = 0.0
        self.lost = set()
        self.told = []
        self.active = [f"a{n}" for n in range(active)]
        self.standby = [f"s{n}" for n in range(standby)]
        self.hosts = {
            name: Host(self, name, active=name in self.active)
            for name in (*self.active, *self.standby)
        }

    def exchange_counts(self):
        """Let active hosts hear each other, and two of them the standby hosts."""
        count = len(self.hosts)
        for name in self.standby:
            self.hosts[name].quotas.set_fleet(count, 1, admitting=1)
        for number, name in enumerate(self.active):
            quotas = self.hosts[name].quotas
            quotas.set_fleet(
                count, count, admitting=len(self.active), count_seconds=BEAT_SECONDS
            )
            heard = [*self.active, *(self.standby if number < 2 else ())]
            for other in heard:
                if other != name:
                    counts = self.hosts[other].quotas.counts()
                    quotas.merge_counts(
                        other, 1, counts, lambda _: RULE, self.now, new=False
                    )


def build_request(customer="c", rule=RULE):
    """Return a request as the exchange admits it."""
    call = SimpleNamespace(previous_turn="t")
    route = SimpleNamespace(retention=60.0, priority=0)
    return AdmittedRequest(call, route, Customer(customer, rule), "engine", 9.0)


class TokenTest(unittest.IsolatedAsyncioTestCase):
    async def test_hosts_that_stand_by_add_nothing_to_a_rate(self):
        """Cases are how many stand by, and their part of the requests."""
        for standby, part in ((10, 0.5), (50, 0.2), (50, 0.5), (150, 0.3)):
            with self.subTest((standby, part)):
                rng = random.Random(1)
                fleet = Fleet(13, standby)
                admitted = []
                fleet.now = next_beat = 100.0
                while fleet.now < 110.0:
                    fleet.now += rng.expovariate(40.0)
                    while next_beat <= fleet.now:
                        fleet.exchange_counts()
                        next_beat += BEAT_SECONDS
                    group = fleet.standby if rng.random() < part else fleet.active
                    host = fleet.hosts[rng.choice(group)]
                    if not await host.service.take(build_request()):
                        admitted.append(fleet.now)
                allowed = test_quotas.FleetQuotasTest.count_allowed(RULE)
                self.assertLessEqual(test_quotas.count_in_window(admitted), allowed)
                self.assertGreater(len(admitted), 0.8 * (22 + 4 * 10))

    async def test_who_is_asked(self):
        """Cases are the hosts that are lost, and the one that counts the request."""
        for lost, host in ((set(), "a0"), ({"a0"}, "a1"), ({"a0", "a1"}, None)):
            with self.subTest(lost):
                fleet = Fleet(3, 1)
                fleet.now = 10.0
                fleet.lost = lost
                request = build_request()
                if host is None:
                    self.assertLessEqual(ASKED_HOSTS, len(lost))
                    with self.assertRaises(CallError) as caught:
                        await fleet.hosts["s0"].service.take(request)
                    self.assertEqual(caught.exception.status, 503)
                    self.assertGreater(caught.exception.retry_after, 0)
                    continue
                self.assertEqual(await fleet.hosts["s0"].service.take(request), 0)
                self.assertEqual(request.token_host, host)
                self.assertEqual(fleet.hosts[host].quotas.counts(), {"c": 1})
                self.assertEqual(fleet.hosts["s0"].quotas.counts(), {})

    async def test_refused_token_tells_when_to_retry(self):
        fleet = Fleet(3, 1)
        fleet.now = 10.0
        while not await fleet.hosts["s0"].service.take(build_request()):
            pass
        wait = await fleet.hosts["s0"].service.take(build_request())
        fleet.now += wait + 0.01
        self.assertEqual(await fleet.hosts["s0"].service.take(build_request()), 0)

    async def test_token_goes_back_to_the_host_that_counted_it(self):
        fleet = Fleet(3, 1)
        fleet.now = 10.0
        request = build_request()
        await fleet.hosts["s0"].service.take(request)
        fleet.hosts["s0"].service.give_back(request)
        ((host, message),) = fleet.told
        self.assertEqual(host, "a0")
        await fleet.hosts[host].serve(message)
        self.assertEqual(fleet.hosts[host].quotas.counts(), {})

    async def test_token_taken_here_after_a_refusal_elsewhere_goes_back_here(self):
        """A host becomes active while a request waits for the rate."""
        fleet = Fleet(3, 1)
        fleet.now = 10.0
        request = build_request()
        host = fleet.hosts["s0"]
        await host.service.take(request)
        host.runtime.gossip.membership.active = True
        await host.service.take(request)
        host.service.give_back(request)
        self.assertEqual((fleet.told, host.quotas.counts()), ([], {}))

    async def test_active_hosts_and_customers_without_a_limit_ask_nobody(self):
        fleet = Fleet(3, 1)
        fleet.lost = set(fleet.hosts)
        fleet.now = 10.0
        for host, request in (
            ("a2", build_request()),
            ("s0", build_request("free", None)),
        ):
            with self.subTest(host):
                self.assertEqual(await fleet.hosts[host].service.take(request), 0)

    async def test_host_that_does_not_know_the_customer_gives_no_token(self):
        fleet = Fleet(3, 1)
        fleet.now = 10.0
        for name in ("a0", "a1"):
            fleet.hosts[name].runtime.configuration.table = RouteTable()
        with self.assertRaises(CallError):
            await fleet.hosts["s0"].service.take(build_request())
