"""Tests of upstreams that leave, by the host list or by their own announcement."""

import unittest
from types import SimpleNamespace
from unittest import mock

from aiohttp import web

from sapphireyard.scheduling.capacity import UpstreamState
from sapphireyard.scheduling.host_lists import HostListError, HttpHostList, ListedHost
from sapphireyard.scheduling.upstream_states import UpstreamStates
from sapphireyard.upstreams.outliers import OutlierDetector
from sapphireyard.upstreams.retries import RetryBudget
from sapphireyard.upstreams.upstreams import UpstreamLeaving, Upstreams
from standins.hosts import HostsServer
from tests.fleet import VirtualClock
from tests.test_slots import make_pool

NAMES = ["engine-0", "engine-1", "engine-2"]


def list_hosts(*leaving, gone=()):
    """Return host list rows for all engines, some leaving or missing."""
    return [
        ListedHost(name=name, state="leaving" if name in leaving else "live")
        for name in NAMES
        if name not in gone
    ]


class UpstreamStatesTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.runtime = SimpleNamespace(
            settings=SimpleNamespace(host_list="127.0.0.1:1"),
            clock=VirtualClock(),
            configuration=SimpleNamespace(current=None),
            outliers=OutlierDetector(),
            retries=RetryBudget(),
            slots=mock.Mock(),
            upstreams=SimpleNamespace(probe=mock.AsyncMock(return_value=True)),
        )
        self.states = UpstreamStates(self.runtime)
        self.states._list = mock.Mock()
        self.configure()

    def configure(self, **options):
        pool = make_pool(upstreams=3, **options)
        self.runtime.configuration.current = SimpleNamespace(pools={pool.name: pool})

    async def read(self, answer):
        """Refresh with an answer of the host list; return the usable upstreams."""
        self.states._list.read = mock.AsyncMock(side_effect=[answer])
        await self.states.refresh()
        return self.runtime.outliers.usable(NAMES, self.runtime.clock.monotonic())

    async def test_leaving_state_is_applied_and_cleared(self):
        set_state = self.runtime.slots.set_state
        self.assertEqual(await self.read(list_hosts("engine-1")), NAMES[::2])
        set_state.assert_called_once_with("models", "engine-1", UpstreamState.LEAVING)
        self.assertEqual(await self.read(list_hosts()), NAMES)
        set_state.assert_called_with("models", "engine-1", UpstreamState.UP)

    async def test_last_states_stay_while_the_list_is_unavailable_or_empty(self):
        await self.read(list_hosts("engine-1"))
        for answer in (HostListError("unreachable"), []):
            with self.subTest(answer=answer):
                self.assertEqual(await self.read(answer), NAMES[::2])

    async def test_vanished_upstream_is_only_suspected(self):
        await self.read(list_hosts())
        for answers, usable in ((True, NAMES), (False, NAMES[1:]), (True, NAMES)):
            with self.subTest(answers=answers):
                self.runtime.upstreams.probe.return_value = answers
                self.assertEqual(await self.read(list_hosts(gone=NAMES[:1])), usable)

    async def test_unlisted_upstreams_and_whole_pools_stay(self):
        self.runtime.upstreams.probe.return_value = False
        for hosts in (list_hosts(gone=NAMES[:2]), list_hosts(*NAMES)):
            with self.subTest(hosts=hosts):
                self.assertEqual(await self.read(hosts), NAMES)

    async def test_upstream_configured_as_leaving_gets_no_new_requests(self):
        self.configure(leaving=["engine-2"])
        self.assertEqual(await self.read(list_hosts()), NAMES[:2])
        self.runtime.slots.set_state.assert_not_called()

    async def test_announcement_is_valid_for_its_time(self):
        self.states.note_leaving("engine-0", seconds=30)
        self.runtime.clock.now += 29
        self.assertEqual(await self.read(list_hosts()), NAMES[1:])
        self.runtime.clock.now += 1
        self.assertEqual(await self.read(list_hosts()), NAMES)

    def test_idle_records_are_forgotten(self):
        now = self.runtime.clock.now
        self.runtime.outliers.report("engine-9", ok=True, now=now)
        self.runtime.retries.note_request("old", now)
        self.runtime.clock.now += 10_000
        self.states.forget()
        self.assertEqual(self.runtime.outliers._records, {})
        self.assertEqual(self.runtime.retries._routes, {})


class HttpTest(unittest.IsolatedAsyncioTestCase):
    async def serve(self, app):
        runner = web.AppRunner(app)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        return "{}:{}".format(*runner.addresses[0])

    async def test_reads_the_list(self):
        server = HostsServer()
        server._lists.append((0.0, list_hosts("engine-1")))
        address = await self.serve(server.app)
        self.assertEqual(await HttpHostList(address).read(), list_hosts("engine-1"))
        server.faults.refuse = True
        with self.assertRaises(HostListError):
            await HttpHostList(f"http://{address}").read()

    async def test_upstream_announces_that_it_leaves(self):
        async def answer(request):
            headers = {"Connection": "close", "Retry-After": "7"}
            return web.Response(status=503, headers=headers)

        app = web.Application()
        app.router.add_post("/{path}", answer)
        address = await self.serve(app)
        upstreams = Upstreams(SimpleNamespace())
        await upstreams.on_start()
        self.addAsyncCleanup(upstreams.on_stop)
        with self.assertRaises(UpstreamLeaving) as raised:
            await upstreams.call_service(
                address, "x", "{}", idempotency_key="", repeatable=True
            )
        self.assertEqual(raised.exception.seconds, 7.0)
