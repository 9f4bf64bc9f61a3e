"""Tests the deployed processes against stand-ins of the platform, over sockets."""

import asyncio
import signal
import subprocess
import sys
import unittest

from standins import site_upstream
from standins.site_upstream import SiteUpstream
from tests.platform_site import (
    KEY,
    ROOT,
    SECOND_KEY,
    PlatformSite,
    build_configuration,
)

ENTRY_IPS = ("127.0.1.1", "127.0.1.2")
COPY_IPS = ("127.0.2.1", "127.0.2.2", "127.0.2.3", "127.0.2.4")
EVENTS = ("one", "two", "three")


class PlatformTestCase(unittest.IsolatedAsyncioTestCase):
    """Runs two entry hosts, four history hosts, an engine and a plain service.

    Attributes
    ----------
    entry_options : dict
        Options of `PlatformSite.start_process` for the entry hosts.
    """

    entry_options = {}

    async def asyncSetUp(self):
        self.site = PlatformSite()
        await self.site.start()
        self.addAsyncCleanup(self.site.stop)
        self.engine = SiteUpstream("i-engine", events=EVENTS)
        self.plain = SiteUpstream("i-plain")
        for upstream, service in ((self.engine, "engine"), (self.plain, "plain")):
            await upstream.start()
            self.site.store.put("servers", upstream.name, upstream.describe(service))
        self.site.store.put("config", "main", build_configuration())
        self.site.start_hosts("entry", "entry", ENTRY_IPS, **self.entry_options)
        self.site.start_hosts("copy", "history", COPY_IPS)
        await self.site.wait_ready(*ENTRY_IPS)
        await self.site.wait_until(self.all_copies_joined)
        await self.site.wait_until(self.turns_are_served)
        self.engine.received.clear()
        self.engine.executed.clear()

    def all_copies_joined(self):
        """Return whether all history hosts have joined and are in the set of copies."""
        logs = [self.site.read_log(f"copy-{n}") for n in range(1, len(COPY_IPS) + 1)]
        joined = all("joined the copies" in log for log in logs)
        return joined and self.count_copies() == len(COPY_IPS)

    async def send_complete_turn(self, ip, text):
        """Retry a turn until its answer is complete; return its id."""
        while True:
            turn, answer = await self.site.send_turn(ip, text)
            if answer.status == 200 and answer.complete:
                return turn
            self.assertEqual(answer.status, 503)
            await asyncio.sleep(float(answer.headers["Retry-After"]))

    def count_copies(self):
        """Return the size of the set of copies in the store."""
        item = self.site.store.read("copies", "main")
        return item["spec"].count("copy-") if item else 0

    async def turns_are_served(self):
        """Return whether both entry hosts complete a turn."""
        for ip in ENTRY_IPS:
            _, answer = await self.site.send_turn(ip, b"warm", program="warm")
            if answer.status != 200 or not answer.complete:
                return False
        return True


class PathTest(PlatformTestCase):
    async def test_turns_continue_on_any_host_with_the_whole_chain(self):
        first, answer = await self.site.send_turn(ENTRY_IPS[0], b"A")
        self.assertEqual((answer.status, answer.complete), (200, True))
        self.assertEqual(answer.headers["Response-Signature"], "signed-by-i-engine")
        second, _ = await self.site.send_turn(ENTRY_IPS[1], b"B", previous=first)
        third, _ = await self.site.send_turn(ENTRY_IPS[0], b"C", previous=second)
        other, _ = await self.site.send_turn(ENTRY_IPS[1], b"D", previous=first)
        output = b"one\ntwo\nthree\n"
        bodies = [request.body for request in self.engine.executed]
        self.assertEqual(
            bodies,
            [
                b"A",
                b"A" + output + b"B",
                b"A" + output + b"B" + output + b"C",
                b"A" + output + b"D",
            ],
        )
        for key, previous, status in (
            (SECOND_KEY, third, 404),
            (KEY, "00000000deadbeef", 404),
        ):
            with self.subTest(previous):
                _, answer = await self.site.send_turn(
                    ENTRY_IPS[0], b"E", previous=previous, key=key
                )
                self.assertEqual(answer.status, status)
        self.assertEqual(len(self.engine.executed), 4)

    async def test_unretained_stream_cannot_be_continued(self):
        answer = await self.site.send(ENTRY_IPS[0], "POST", "/live/x", body=b"A")
        self.assertEqual((answer.status, answer.complete), (200, True))
        self.assertEqual(answer.body.count(b"data:"), 3)
        _, after = await self.site.send_turn(
            ENTRY_IPS[0], b"B", previous=f"{self.site.request_count:016x}"
        )
        self.assertEqual(after.status, 404)

    async def test_upstream_gets_the_request_without_the_key(self):
        await self.site.send(
            ENTRY_IPS[0],
            "POST",
            "/book/a%2Fb/../c?x=%20y&z",
            body=b"lorry",
            headers={"Tenant": "forged", "Hold": "h", "X-Own": "kept", "Pin-Ms": "9"},
        )
        (request,) = self.plain.executed
        self.assertEqual(
            (request.method, request.target, request.body),
            ("POST", "/book/a%2Fb/../c?x=%20y&z", b"lorry"),
        )
        self.assertEqual(request.headers["tenant"], "first")
        self.assertEqual(request.headers["x-own"], "kept")
        self.assertLessEqual(int(request.headers["deadline-ms"]), 3000)
        for absent in ("credential", "hold", "pin-ms"):
            self.assertNotIn(absent, request.headers)
        self.assertNotIn(KEY, str(request.headers))

    async def test_rejected_requests(self):
        cases = [
            ("no key", "GET", "/view/1", {"key": ""}, 401),
            ("wrong key", "GET", "/view/1", {"key": "none"}, 401),
            ("no route", "GET", "/other/1", {}, 404),
            ("wrong key, no route", "GET", "/other/1", {"key": "none"}, 401),
            ("large body", "POST", "/book/1", {"body": b"x" * 100_001}, 413),
            (
                "wrong key, large body",
                "POST",
                "/book/1",
                {"key": "-", "body": b"x" * 100_001},
                401,
            ),
            ("large headers", "GET", "/view/1", {"headers": {"X": "y" * 17000}}, 431),
            ("no id", "GET", "/view/1", {"headers": {"Request-Id": ""}}, 400),
            ("long id", "GET", "/view/1", {"headers": {"Request-Id": "a" * 300}}, 400),
            ("bad number", "GET", "/view/1", {"headers": {"Token-Budget": "z"}}, 400),
            ("negative", "GET", "/view/1", {"headers": {"Token-Count": "9,-9"}}, 400),
            ("digits", "GET", "/view/1", {"headers": {"Token-Budget": "9" * 99}}, 400),
            ("separator", "GET", "/view/1", {"headers": {"Token-Budget": "1_0"}}, 400),
        ]
        for name, method, target, options, status in cases:
            with self.subTest(name):
                answer = await self.site.send(ENTRY_IPS[0], method, target, **options)
                self.assertEqual(answer.status, status)
        self.assertEqual(self.plain.received, [])

    async def test_budget_ends_a_program(self):
        statuses = []
        for number in range(9):
            _, answer = await self.site.send_turn(
                ENTRY_IPS[number % 2], b"A", program="loop", budget=400
            )
            statuses.append(answer.status)
        # Each turn reserves 280 tokens and takes 3 x 14 = 42.
        self.assertEqual(statuses, [200] * 3 + [402] * 6)

    async def test_spending_and_turns_survive_the_loss_of_all_processes(self):
        turn = ""
        for number in range(3):
            turn, _ = await self.site.send_turn(
                ENTRY_IPS[0], b"A", previous=turn, program="loop", budget=400
            )
        for number in range(1, 5):
            self.site.kill(f"copy-{number}")
        for number in (1, 2):
            self.site.kill(f"entry-{number}")
        self.site.start_hosts("entry", "entry", ENTRY_IPS, bootstrap=False)
        self.site.start_hosts("copy", "history", COPY_IPS, bootstrap=False)
        await self.site.wait_ready(*ENTRY_IPS)
        await self.site.wait_until(self.turns_are_served)
        _, answer = await self.site.send_turn(
            ENTRY_IPS[1], b"A", previous=turn, program="loop", budget=400
        )
        self.assertEqual(answer.status, 402)
        _, answer = await self.site.send_turn(ENTRY_IPS[1], b"B", previous=turn)
        self.assertEqual(answer.status, 200)
        self.assertEqual(self.engine.executed[-1].body.count(b"one\ntwo\nthree\n"), 3)

    async def test_lost_copy_is_replaced_by_a_host_with_an_empty_disk(self):
        turn = await self.send_complete_turn(ENTRY_IPS[0], b"A")
        self.site.kill("copy-1")
        self.site.start_process(
            "copy-5", "history", "127.0.2.5", failure_domain="d1", bootstrap=False
        )
        await self.site.wait_until(
            lambda: "copy-5" in self.site.store.read("copies", "main")["spec"]
        )
        await self.site.wait_until(lambda: "joined" in self.site.read_log("copy-5"))
        self.site.kill("copy-2")
        await self.site.wait_until(self.turns_are_served)
        _, answer = await self.site.send_turn(ENTRY_IPS[1], b"B", previous=turn)
        self.assertEqual(answer.status, 200)
        self.assertNotIn("copy-1", self.site.store.read("copies", "main")["spec"])

    async def test_retired_copy_transfers_its_records(self):
        turn = await self.send_complete_turn(ENTRY_IPS[0], b"A")
        self.site.store.put("retirements", "copy-3", {"duration-s": 5})
        await self.site.wait_until(
            lambda: self.site.store.read("retirements", "copy-3")["status"]
            == {"state": "completed"}
        )
        self.assertEqual(self.count_copies(), 3)
        self.site.kill("copy-3")
        self.site.kill("copy-1")
        await self.site.wait_until(self.turns_are_served)
        _, answer = await self.site.send_turn(ENTRY_IPS[1], b"B", previous=turn)
        self.assertEqual(answer.status, 200)

    async def test_withdrawn_key_stops(self):
        self.assertEqual(
            (await self.site.send(ENTRY_IPS[0], "GET", "/view/1")).status, 200
        )
        tenants = [{"name": "first", "api-keys": ["new"]}]
        self.site.store.put("config", "main", build_configuration(2, tenants=tenants))
        for ip in ENTRY_IPS:
            await self.site.wait_until(lambda ip=ip: self.answers_with(ip, 401))

    async def answers_with(self, ip, status):
        """Return whether a request gets the given status."""
        return (await self.site.send(ip, "GET", "/view/1")).status == status

    async def test_host_without_the_store_stops_serving_keys(self):
        self.site.store.faults = self.site.store.faults.merge({"outage": "hang"})
        self.site.store.on_faults_changed()
        await self.site.wait_until(lambda: self.answers_with(ENTRY_IPS[0], 503))
        answer = await self.site.send(ENTRY_IPS[0], "GET", "/view/1")
        self.assertGreater(float(answer.headers["Retry-After"]), 0)
        self.site.store.faults = self.site.store.faults.merge({"outage": "none"})
        await self.site.wait_until(lambda: self.answers_with(ENTRY_IPS[0], 200))

    async def test_planned_stop_cuts_no_request(self):
        self.plain.delay_seconds = 0.5
        running = asyncio.ensure_future(self.site.send(ENTRY_IPS[0], "POST", "/book/1"))
        await self.site.wait_until(lambda: self.plain.executed)
        self.site.signal("entry-1", signal.SIGTERM)
        await self.site.wait_until(lambda: self.lists_only(ENTRY_IPS[1]))
        self.assertEqual((await running).status, 200)
        late = await self.site.send(ENTRY_IPS[0], "GET", "/view/1")
        self.assertEqual(late.status, 200)
        self.assertEqual(late.headers["Connection"], "close")
        await self.site.wait_until(
            lambda: self.site.process("entry-1").poll() is not None
        )
        self.assertEqual(self.site.process("entry-1").returncode, 0)

    async def lists_only(self, ip):
        """Return whether the directory lists only the host with this IP."""
        _, addresses = await self.site.resolve(ENTRY_IPS[1])
        return [address.rsplit(":", 1)[0] for address in addresses] == [ip]

    async def test_folder_does_not_shadow_the_standard_module(self):
        """The folder ``platform`` does not shadow the standard module."""
        code = "import platform; print(platform.python_version())"
        for place in (ROOT, ROOT / "platform"):
            with self.subTest(place.name):
                done = subprocess.run(
                    [sys.executable, "-c", code], cwd=place, capture_output=True
                )
                self.assertRegex(done.stdout.decode(), r"^3\.11")


class FaultyUpstreamTest(PlatformTestCase):
    async def test_faulty_answers_of_plain_services(self):
        """Only idempotent or unexecuted requests are retried; others get status 502."""
        cases = [
            (site_upstream.COMPLETE, "GET", "/view/1", 200, 1),
            (site_upstream.TRUNCATED, "GET", "/view/1", 200, 2),
            (site_upstream.TRUNCATED, "POST", "/book/1", 502, 1),
            (site_upstream.UNFRAMED, "POST", "/book/1", 200, 1),
            (site_upstream.UNFRAMED_RESET, "GET", "/view/1", 200, 2),
            (site_upstream.UNFRAMED_RESET, "POST", "/book/1", 502, 1),
            (site_upstream.EXTRA_ANSWER, "POST", "/book/1", 200, 1),
            (site_upstream.FOREIGN_ID, "GET", "/view/1", 200, 2),
            (site_upstream.FOREIGN_ID, "POST", "/book/1", 502, 1),
            (site_upstream.MALFORMED, "GET", "/view/1", 200, 2),
            (site_upstream.MALFORMED, "POST", "/book/1", 502, 1),
            (site_upstream.UNSIGNED, "POST", "/book/1", 502, 1),
            (site_upstream.ENCODED, "POST", "/book/1", 502, 1),
            (site_upstream.RESET, "GET", "/view/1", 200, 2),
            (site_upstream.RESET, "POST", "/book/1", 502, 1),
            (site_upstream.NO_CAPACITY, "POST", "/book/1", 200, 1),
        ]
        second = SiteUpstream("i-plain-2")
        await second.start()
        self.site.store.put("servers", second.name, second.describe("plain"))
        await self.site.wait_until(lambda: "i-plain-2" in self.site.read_log("entry-1"))
        both = (self.plain, second)
        for answer, method, target, status, runs in cases:
            with self.subTest(f"{answer} {method}"):
                # The first upstream that is tried gives the faulty answer.
                faults = [answer, site_upstream.COMPLETE]
                self.plain.answers = second.answers = faults
                before = sum(len(each.executed) for each in both)
                got = await self.site.send(ENTRY_IPS[0], method, target)
                self.assertEqual(got.status, status)
                self.assertEqual(
                    sum(len(each.executed) for each in both) - before, runs
                )
                if status == 200:
                    self.assertIn("Response-Signature", got.headers)
                    self.assertTrue(got.body.endswith(target.encode()))

    async def test_broken_off_streams_do_not_look_complete(self):
        """Cases are the engine's answer, and whether the turn counts.

        A turn that does not count can't be continued.
        """
        cases = [
            (site_upstream.UNFRAMED, True),
            (site_upstream.UNFRAMED_CUT, False),
            (site_upstream.UNFRAMED_RESET, False),
            (site_upstream.TRUNCATED, False),
            (site_upstream.UNFRAMED_CRASH, False),
        ]
        for kind, counts in cases:
            with self.subTest(kind):
                self.engine.answers = [kind, site_upstream.COMPLETE]
                turn, answer = await self.site.send_turn(ENTRY_IPS[0], b"A")
                self.assertEqual((answer.status, answer.complete), (200, counts))
                _, after = await self.site.send_turn(ENTRY_IPS[1], b"B", previous=turn)
                self.assertEqual(after.status == 200, counts)

    async def test_request_that_crashes_upstreams_stops_on_all_hosts(self):
        upstreams = [self.plain]
        for number in range(2, 7):
            upstream = SiteUpstream(f"i-plain-{number}")
            await upstream.start()
            self.site.store.put("servers", upstream.name, upstream.describe("plain"))
            upstreams.append(upstream)
        for name in ("entry-1", "entry-2"):
            await self.site.wait_until(
                lambda name=name: "i-plain-6" in self.site.read_log(name)
            )
        for upstream in upstreams:
            upstream.answers = [site_upstream.CRASH]
        for crashes in (1, 2, 3):
            answer = await self.site.send(ENTRY_IPS[0], "POST", "/book/1", body=b"x")
            self.assertEqual(answer.status, 502)
            await self.site.wait_until(
                lambda: f'"crashes": {crashes}' in self.site.read_log("entry-1")
            )
        ran = sum(len(each.executed) for each in upstreams)
        self.assertEqual(ran, 3)
        answer = await self.site.send(ENTRY_IPS[0], "POST", "/book/1", body=b"x")
        self.assertEqual(answer.status, 503)
        self.assertGreater(float(answer.headers["Retry-After"]), 50.0)
        for upstream in upstreams:
            upstream.answers = [site_upstream.COMPLETE]
        answer = await self.site.send(ENTRY_IPS[0], "POST", "/book/1", body=b"other")
        self.assertEqual(answer.status, 200)

        async def is_blocked():
            answer = await self.site.send(ENTRY_IPS[1], "POST", "/book/1", body=b"x")
            return answer.status == 503 and b"crashes_upstreams" in answer.body

        for upstream in upstreams:  # no upstream has capacity for it
            upstream.answers = [site_upstream.NO_CAPACITY]
        await self.site.wait_until(is_blocked)

    async def test_barred_request_is_barred_after_all_entry_hosts_restart(self):
        names = ("i-plain-2", "i-plain-3", "i-plain-4", "i-plain-5")
        for name in names:
            upstream = SiteUpstream(name, answers=[site_upstream.CRASH])
            await upstream.start()
            self.site.store.put("servers", name, upstream.describe("plain"))
        self.plain.answers = [site_upstream.CRASH]
        await self.site.wait_until(
            lambda: all(name in self.site.read_log("entry-1") for name in names)
        )

        async def is_barred(ip):
            answer = await self.site.send(ip, "POST", "/book/1", body=b"x")
            return b"crashes_upstreams" in answer.body

        await self.site.wait_until(lambda: is_barred(ENTRY_IPS[0]))
        await asyncio.sleep(1)
        hosts = ("entry-1", "entry-2")
        for name in hosts:
            self.site.kill(name)
        for number, (name, ip) in enumerate(zip(hosts, ENTRY_IPS), 1):
            self.site.start_process(
                name, "entry", ip, failure_domain=f"d{number}", bootstrap=False
            )
        await self.site.wait_ready(*ENTRY_IPS)
        for ip in ENTRY_IPS:
            self.assertTrue(await is_barred(ip), ip)

    async def test_crash_that_several_hosts_observe_counts_once(self):
        """Equal turns in flight at two hosts are not barred once the engine is back."""
        self.engine.answers = [site_upstream.CRASH]
        self.engine.delay_seconds = 1.0  # all turns have arrived by then
        hosts = (*ENTRY_IPS, *ENTRY_IPS)
        await asyncio.gather(
            *(
                self.site.send_turn(ip, b"again", program=f"p{number}")
                for number, ip in enumerate(hosts)
            )
        )
        logs = ("entry-1", "entry-2")
        await self.site.wait_until(
            lambda: sum(map(self.count_crashes, logs)) == len(hosts)
        )
        self.engine.answers = [site_upstream.COMPLETE]
        port = int(self.engine.address.rsplit(":", 1)[1])
        await self.engine.start(port=port)
        entry = self.engine.describe("engine", born=2)
        self.site.store.put("servers", self.engine.name, entry)
        await asyncio.sleep(1)
        for ip in ENTRY_IPS:
            _, answer = await self.site.send_turn(ip, b"again", program=f"q{ip}")
            self.assertNotIn(b"crashes_upstreams", answer.body)
            self.assertEqual(answer.status, 200)

    def count_crashes(self, name):
        return self.site.read_log(name).count("upstream down after a request")

    async def test_cut_stream_does_not_look_complete(self):
        self.engine.answers = [site_upstream.TRUNCATED, site_upstream.COMPLETE]
        _, answer = await self.site.send_turn(ENTRY_IPS[0], b"A")
        self.assertFalse(answer.complete)
        self.assertEqual(len(self.engine.executed), 1)

    async def test_other_upstream_at_the_address_runs_nothing(self):
        self.plain.name = "i-someone-else"
        answer = await self.site.send(ENTRY_IPS[0], "POST", "/book/1")
        self.assertEqual(answer.status, 503)
        self.assertEqual(self.plain.executed, [])

    async def test_leaving_caller_ends_the_run(self):
        self.engine.gap_seconds = 0.3
        turn = asyncio.ensure_future(self.site.send_turn(ENTRY_IPS[0], b"A"))
        await self.site.wait_until(lambda: self.engine.executed)
        turn.cancel()
        await self.site.wait_until(lambda: self.engine.executed[0].cancelled)
