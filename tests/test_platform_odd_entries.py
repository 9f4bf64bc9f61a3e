"""Tests the deployed processes with odd entries in every kind of object they read."""

import json

from standins.site_upstream import SiteUpstream
from tests.platform_site import build_configuration
from tests.test_odd_entries import ODD_VALUES, list_odd_entries
from tests.test_platform_processes import COPY_IPS, ENTRY_IPS, PlatformTestCase

HOSTS_KIND = "sapphireyard-hosts"
PROFILE = {
    "host": "odd",
    "address": "127.0.9.9:9",
    "role": "entry",
    "failure_domain": "d9",
    "caller_address": "127.0.9.9:10",
    "cores": 1.0,
}


def list_odd_hosts():
    """Return the JSON texts of entries of hosts that none can be reached by."""
    texts = [
        json.dumps({**PROFILE, "host": f"odd-{number}", "address": address})
        for number, address in enumerate(
            (
                "",
                "x",
                "127.0.9.9",
                "127.0.9.9:99999",
                "::1:80",
                "server:80",
                "1.2.3.4:x",
            )
        )
    ]
    for text in ODD_VALUES.values():
        texts.append(text)
        for field in PROFILE:
            fields = {name: json.dumps(value) for name, value in PROFILE.items()}
            fields[field] = text
            members = (f'"{name}": {value}' for name, value in fields.items())
            texts.append("{" + ", ".join(members) + "}")
    return texts


class OddEntriesProcessTest(PlatformTestCase):
    entry_options = {"settings": ("bounds.evacuate-ms=5000",)}

    def put_odd_entries(self):
        store = self.site.store
        for number, (_, text, _) in enumerate(list_odd_entries()):
            store.put_text("servers", f"odd-{number}", text)
        for number, text in enumerate(list_odd_hosts()):
            store.put_text(HOSTS_KIND, f"odd-{number}", text)
        for number, text in enumerate(ODD_VALUES.values()):
            for kind in ("config", "evacuations", "retirements", "copies"):
                store.put_text(kind, f"odd-{number}", text)

    async def is_served(self, upstream):
        """Return whether each entry host sends requests to an upstream."""
        upstream.received.clear()
        for ip in ENTRY_IPS:
            answer = await self.site.send(ip, "GET", "/view/1")
            if answer.status != 200:
                return False
        return len(upstream.received) == len(ENTRY_IPS)

    async def test_odd_entries_of_all_kinds_end_no_process(self):
        store = self.site.store
        self.put_odd_entries()
        other = SiteUpstream("i-other")
        await other.start()
        store.put("servers", other.name, other.describe("plain"))
        store.remove("servers", self.plain.name)
        await self.site.wait_until(lambda: self.is_served(other))
        names = [f"entry-{n}" for n in range(1, len(ENTRY_IPS) + 1)]
        names += [f"copy-{n}" for n in range(1, len(COPY_IPS) + 1)]
        for name in names:
            self.assertIsNone(self.site.process(name).poll(), name)
        store.put_text("config", "main", "[" * 2000 + "]" * 2000)
        for name, role, ip in (
            ("entry-1", "entry", ENTRY_IPS[0]),
            ("copy-1", "history", COPY_IPS[0]),
        ):
            self.site.kill(name)
            self.site.start_process(name, role, ip, failure_domain="d1")
        store.put("config", "main", build_configuration(2))
        await self.site.wait_ready(*ENTRY_IPS)
        await self.site.wait_until(lambda: self.is_served(other))
        await self.site.wait_until(self.turns_are_served)
        for name in names:
            with self.subTest(name):
                self.assertIsNone(self.site.process(name).poll())
                self.assertNotIn("Traceback", self.site.read_log(name))


del PlatformTestCase  # otherwise the loader would run it here as well
