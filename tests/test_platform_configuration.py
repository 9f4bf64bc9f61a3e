"""Which version of the configuration entry hosts use, and what confirms it."""

import asyncio
import sys
from types import SimpleNamespace

from sapphireyard.exchange.configuration import Configuration
from tests.platform_site import KEY, ROOT, build_configuration
from tests.test_odd_entries import ODD_VALUES, StoreCase
from tests.test_platform_border import NUMBER_PATHS, set_value
from tests.test_platform_processes import ENTRY_IPS, PlatformTestCase
from tests.test_standby import LoopClock

sys.path.insert(0, str(ROOT / "platform"))

from adapter.feeds import ConfigurationFeed  # noqa: E402
from adapter.objects import PlatformObject  # noqa: E402

WITHDRAWAL_SECONDS = 5.0
"""As in the settings of `PlatformSite`."""
APPLY_SECONDS = 2.2
"""Time in which hosts must use a version that they can read, with a margin."""
NEW_KEY = "key-that-is-new"
NO_LIMIT = 2**53 - 1


def list_unreadable():
    """Return JSON texts that are no configuration at all."""
    texts = {name: text for name, text in ODD_VALUES.items() if text}
    texts["no version"] = '{"routes": []}'
    texts["routes as text"] = '{"version": 9, "routes": "none"}'
    texts["tenant without a name"] = '{"version": 9, "tenants": [{}]}'
    return texts


class ConfirmationTest(StoreCase):
    """A withdrawn key must not live on because its withdrawal cannot be read."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.site.put("config", "main", build_configuration(1))
        clock = LoopClock()
        self.configuration = Configuration(clock, withdrawal_seconds=WITHDRAWAL_SECONDS)
        runtime = SimpleNamespace(
            store=self.store, clock=clock, configuration=self.configuration
        )
        self.feed = ConfigurationFeed(runtime)
        self.feed._seconds = 0.1

    async def poll(self):
        sent_at = self.feed._runtime.clock.monotonic()
        await self.feed._poll()
        self.feed.note_answer(sent_at)

    async def read_again(self):
        """Read in each way in which the configuration is confirmed."""
        await self.poll()
        await self.poll()
        await self.feed.read()
        age = self.configuration.age
        self.configuration.confirm_by_peer(
            self.configuration.table.version, 0.0, self.feed._runtime.clock.monotonic()
        )
        return min(age, self.configuration.age)

    async def test_unreadable_version_confirms_nothing(self):
        for name, text in list_unreadable().items():
            with self.subTest(name):
                await self.asyncSetUp()
                await self.poll()
                self.assertLess(await self.read_again(), 0.1)
                self.site.put_text("config", "main", text)
                await self.poll()
                await asyncio.sleep(0.1)
                self.assertGreater(await self.read_again(), 0.1)
                self.site.put("config", "main", build_configuration(10))
                self.assertLess(await self.read_again(), 0.1)
                self.assertEqual(self.configuration.table.version, 10)

    async def test_missing_configuration_confirms_nothing(self):
        await self.poll()
        self.site.remove("config", "main")
        await self.poll()
        await asyncio.sleep(0.1)
        self.assertGreater(await self.read_again(), 0.1)
        self.site.put("config", "main", build_configuration(1))
        self.assertLess(await self.read_again(), 0.1)

    async def test_earlier_read_that_is_answered_late_changes_nothing(self):
        await self.poll()
        before = await self.store.get_object("config", "main")
        self.site.put_text("config", "main", "null")
        await self.poll()
        self.feed._apply(PlatformObject("main", 0, None))  # without a revision
        self.feed._apply(before)
        await asyncio.sleep(0.1)
        self.assertGreater(await self.read_again(), 0.1)

    async def test_version_in_force_is_logged_once_as_unreadable(self):
        await self.poll()
        self.site.put_text("config", "main", "null")
        with self.assertLogs("sapphireyard.exchange.configuration") as logs:
            for _ in range(3):
                await self.feed.read()
        (record,) = logs.records
        self.assertEqual((record.decision, record.version), ("configuration", 1))


class VersionsTest(PlatformTestCase):
    """Both hosts; each version takes one key away and adds another."""

    def build_version(self, version, **changes):
        tenants = [{"name": "first", "api-keys": [NEW_KEY, f"key-{version}"]}]
        return {**build_configuration(version, tenants=tenants), **changes}

    async def send_with(self, key):
        """Return the statuses of requests with a key, at each host."""
        answers = [
            await self.site.send(ip, "GET", "/view/1", key=key) for ip in ENTRY_IPS
        ]
        return [answer.status for answer in answers]

    async def test_versions_with_large_numbers_are_in_force(self):
        base = build_configuration()
        route, engine = base["routes"][0], base["services"][0]
        split = {"service": None, "traffic-split": [{"service": "engine", "weight": 1}]}
        cases = [
            {"limits": {"max-body-bytes": NO_LIMIT}},
            {"limits": {"idle-timeout-ms": NO_LIMIT, "header-timeout-ms": NO_LIMIT}},
            {"routes": [{**route, "retention-s": 1e300}, *base["routes"][1:]]},
            {"routes": [{**route, **split}, *base["routes"][1:]]},
            {"routes": [{**each, "traffic-split": None} for each in base["routes"]]},
            {"services": [{**engine, "engine": {"slots": 2**63}}, base["services"][1]]},
        ]
        before = KEY
        for version, changes in enumerate(cases, 2):
            with self.subTest(changes=str(changes)[:80]):
                configuration = self.build_version(version, **changes)
                self.site.store.put("config", "main", configuration)
                await asyncio.sleep(APPLY_SECONDS)
                self.assertEqual(await self.send_with(f"key-{version}"), [200, 200])
                self.assertEqual(await self.send_with(before), [401, 401])
                before = f"key-{version}"

    async def test_requests_are_served_if_all_numbers_are_large(self):
        """Limits without an effect must not fail later, where they are used."""
        configuration = build_configuration(2)
        for path in NUMBER_PATHS[1:]:
            set_value(configuration, path, NO_LIMIT)
        self.site.store.put("config", "main", configuration)
        await asyncio.sleep(APPLY_SECONDS)
        for ip in ENTRY_IPS:
            with self.subTest(ip):
                turn, answer = await self.site.send_turn(ip, b"A", program=f"p-{ip}")
                self.assertEqual((answer.status, answer.complete), (200, True))
                _, answer = await self.site.send_turn(
                    ip, b"B", previous=turn, program=f"q-{ip}"
                )
                self.assertEqual(answer.status, 200)
                for method, target in (("GET", "/view/1"), ("POST", "/book/1")):
                    answer = await self.site.send(ip, method, target, body=b"x" * 9999)
                    self.assertEqual(answer.status, 200)
                _, answer = await self.site.send_turn(ip, b"C", program=f"p-{ip}")
                self.assertEqual(answer.status, 402)

    async def test_keys_are_refused_while_the_newest_version_is_unreadable(self):
        self.site.store.put_text("config", "main", '{"version": 2, "routes": 5}')
        await asyncio.sleep(WITHDRAWAL_SECONDS)
        self.assertEqual(await self.send_with(KEY), [503, 503])
        self.site.store.put("config", "main", build_configuration(2**64 + 3))
        await self.site.wait_ready(*ENTRY_IPS)
        self.assertEqual(await self.send_with(KEY), [200, 200])
        await asyncio.sleep(WITHDRAWAL_SECONDS + 1)
        self.assertEqual(await self.send_with(KEY), [200, 200])


del PlatformTestCase, StoreCase  # otherwise the loader would run them here as well
