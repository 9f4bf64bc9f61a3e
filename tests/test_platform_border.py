"""Tests of the boundary of ``platform/``: names, settings, tables, deployment."""

import math
import re
import sys
import tempfile
import tomllib
import unittest
from pathlib import Path

from sapphireyard.exceptions import SettingsError
from sapphireyard.exchange.held import find_max_connections, find_room
from sapphireyard.exchange.routes import RouteTable
from tests.platform_site import KEY, SECOND_KEY, build_configuration

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "platform"))

from adapter import names  # noqa: E402
from adapter.settings import (  # noqa: E402
    MAX_CORES,
    load_settings,
    parse_lines,
)
from adapter.tables import (  # noqa: E402
    MAX_SLOTS,
    decode_configuration,
    decode_upstream,
)

SETTINGS = """\
node=front-a-1
role=entry
ip=10.1.0.11
zone=zone-a
zones.zone-a=region
listen.front=10.1.0.11:8368
listen.ready=10.1.0.11:8369
listen.directory=10.1.0.11:8360
port-range=7780,7795
seeds=10.1.0.12:8367,10.2.0.34:8367
bootstrap=true
fault-tolerance.machines=2
bounds.revoke-ms=5000
bounds.grace-s=8
provider.address=10.200.1.7:8362
unknown.field=1
"""
ENTRY = {
    "service": "engine",
    "address": "10.0.0.9:8080",
    "zone": "zone-a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold-remaining-ms": 0,
    "sequence": 4,
    "born": 1700000000000,
}
WIRE_FIELDS = (
    "path-prefix",
    "traffic-split",
    "max-attempts",
    "retention-s",
    "api-keys",
    "rate-per-s",
    "kv-capacity-tokens",
    "tokens-per-event",
    "current-rev",
    "more-pages",
    "wait-ms",
    "ttl-s",
)
"""Fields of the platform's bodies, which the core must not name."""

PACKAGES = (
    "limits",
    "streams",
    "storage",
    "configuration",
    "journal",
    "ownership",
    "upstreams",
    "scheduling",
    "programs",
    "callers",
    "operators",
    "fleet",
    "history",
    "exchange",
)
"""Packages of the core; each may import only those before it."""
BINARIES = ("entry", "control", "archive")


class NamesTest(unittest.TestCase):
    def test_core_contains_no_wire_names(self):
        headers = [
            value
            for name, value in vars(names).items()
            if name.isupper() and isinstance(value, str) and name != "HOST"
        ]
        headers.remove(names.RETRY_AFTER)  # a standard header of HTTP
        wire = [
            re.escape(text)
            for text in (*headers, *WIRE_FIELDS)
            if "-" in text or "/" in text
        ]
        pattern = re.compile("|".join(f'"{text}"' for text in wire), re.IGNORECASE)
        for path in sorted((ROOT / "sapphireyard").rglob("*.py")):
            with self.subTest(path.name):
                self.assertIsNone(pattern.search(path.read_text()))

    def test_core_does_not_import_the_adapter(self):
        pattern = re.compile(r"^\s*(from|import) adapter\b", re.MULTILINE)
        for path in sorted((ROOT / "sapphireyard").rglob("*.py")):
            with self.subTest(path.name):
                self.assertIsNone(pattern.search(path.read_text()))

    def test_packages_import_only_earlier_ones(self):
        """A package imports only packages before it, and no binary."""
        root = ROOT / "sapphireyard"
        packages = {path.parent.name for path in root.glob("*/__init__.py")}
        self.assertEqual(packages, set(PACKAGES))
        for number, package in enumerate(PACKAGES):
            later = [*PACKAGES[number + 1 :], *BINARIES]
            pattern = re.compile(
                rf"^\s*(from|import) sapphireyard\.({'|'.join(later)})\b", re.MULTILINE
            )
            for path in sorted((root / package).glob("*.py")):
                with self.subTest(f"{package}/{path.name}"):
                    self.assertIsNone(pattern.search(path.read_text()))

    def test_common_modules_import_no_package(self):
        root = ROOT / "sapphireyard"
        common = {path.stem for path in root.glob("*.py")} - {*BINARIES, "__init__"}
        pattern = re.compile(
            rf"^\s*(from|import) sapphireyard\.({'|'.join((*PACKAGES, *BINARIES))})\b",
            re.MULTILINE,
        )
        for name in sorted(common):
            with self.subTest(name):
                text = (root / f"{name}.py").read_text()
                self.assertIsNone(pattern.search(text))


class DeployTest(unittest.TestCase):
    def test_requirements_match_the_project(self):
        project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
        pinned = (ROOT / "requirements.txt").read_text().split()
        self.assertEqual(pinned, project["dependencies"])

    def test_roles_run_existing_programs(self):
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.assertIn("requirements.txt", deploy["build"])
        for role, entry in deploy["roles"].items():
            with self.subTest(role):
                program, option, path, name = entry["run"].split()
                self.assertEqual((program, option, name), ("python3", "-S", role))
                self.assertTrue((ROOT / path).exists())

    def test_folder_does_not_shadow_the_standard_module(self):
        self.assertFalse((ROOT / "platform" / "__init__.py").exists())


class SettingsTest(unittest.TestCase):
    def load(self, text):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings.conf"
            path.write_text(text)
            return load_settings(path, role="entry")

    def test_settings_are_decoded(self):
        settings = self.load(SETTINGS)
        expected = {
            "host": "front-a-1",
            "failure_domain": "zone-a",
            "peer_address": "10.1.0.11:7780",
            "caller_address": "10.1.0.11:8368",
            "seeds": ("10.1.0.12:7780", "10.2.0.34:7780"),
            "bootstrap": True,
            "tolerated_losses": 2,
            "withdrawal_seconds": 5.0,
            "store_address": "10.200.1.7:8362",
            "data_folder": "",
        }
        for name, value in expected.items():
            with self.subTest(name):
                self.assertEqual(getattr(settings, name), value)

    def test_bounds_of_cold_and_evacuated_upstreams(self):
        """Cases are lines of the file, and the fields that result."""
        cases = [
            ("", (None, 1.0, 0.0, {})),
            ("bounds.evacuate-ms=5000", (5.0, 1.0, 0.0, {})),
            ("bounds.cold-over=1.5\nbounds.cold-slack=5", (None, 1.5, 5.0, {})),
            ("zones.d-1=e\nzones.d-2=w", (None, 1.0, 0.0, {"d-1": "e", "d-2": "w"})),
        ]
        for lines, expected in cases:
            with self.subTest(lines):
                got = self.load(f"{SETTINGS}\n{lines}\n")
                fields = got.evacuation_seconds, got.cold_over, got.cold_slack
                regions = {"zone-a": "region", **expected[3]}
                self.assertEqual((*fields, got.regions), (*expected[:3], regions))

    def test_bounds_of_leaving_upstreams(self):
        """Cases are lines of the file, and the seconds that result."""
        cases = [
            ("", (2.0, 0.0)),
            ("bounds.drain-ms=1500\nheartbeat-ms=1200", (1.5, 1.2)),
        ]
        for lines, expected in cases:
            with self.subTest(lines):
                got = self.load(f"{SETTINGS}\n{lines}\n")
                self.assertEqual((got.drain_seconds, got.report_seconds), expected)

    def test_all_findings_are_reported_together(self):
        faulty = SETTINGS.replace("node=front-a-1\n", "").replace(
            "machines=2", "machines=many"
        )
        with self.assertRaises(SettingsError) as caught:
            self.load(faulty)
        places = [finding.place for finding in caught.exception.findings]
        self.assertEqual(sorted(places), ["fault-tolerance.machines", "node"])

    def test_odd_settings_are_findings(self):
        """Cases are bytes at the end of the file, and the place of the finding."""
        cases = [
            (b"\xff\xfe=1", ""),
            (b"node.x=1", "node.x"),
            (b"bounds=1\nbounds.x.y=2", "bounds"),
            (b"bounds.drain-ms=nan", "bounds.drain-ms"),
            (b"bounds.contact-ms=inf", "bounds.contact-ms"),
            (b"bounds.grace-s=1e400", "bounds.grace-s"),
            (b"bounds.grace-s=" + b"9" * 6000, "bounds.grace-s"),
            (b"limits.max-fds=" + b"9" * 6000, "limits.max-fds"),
            (b"heartbeat-ms=-1", "heartbeat-ms"),
        ]
        for data, place in cases:
            with self.subTest(data[:20]), tempfile.TemporaryDirectory() as folder:
                path = Path(folder) / "settings.conf"
                path.write_bytes(SETTINGS.encode() + data)
                with self.assertRaises(SettingsError) as caught:
                    load_settings(path, role="entry")
                (finding,) = caught.exception.findings
                self.assertTrue(finding.place.startswith(place), finding.place)
                self.assertLess(len(str(finding)), 300)

    def test_numbers_of_any_size_are_read(self):
        """A process that refuses its settings never starts."""
        for field in (
            "bounds.revoke-ms",
            "bounds.contact-ms",
            "bounds.grace-s",
            "bounds.drain-ms",
            "bounds.ttl_max_s",
            "bounds.evacuate-ms",
            "bounds.cold-over",
            "bounds.cold-slack",
            "heartbeat-ms",
            "limits.memory-mb",
            "limits.cores",
            "limits.max-fds",
        ):
            for text in (str(2**53 - 1), "9" * 19, "9" * 300):
                with self.subTest(field), tempfile.TemporaryDirectory() as folder:
                    path = Path(folder) / "settings.conf"
                    path.write_text(f"{SETTINGS}{field}={text}\n")
                    settings = load_settings(path, role="entry")
                    self.assertTrue(math.isfinite(settings.withdrawal_seconds))
                    self.assertLessEqual(settings.cores, MAX_CORES)
                    find_max_connections(
                        settings.descriptors, find_room(settings.memory_bytes)
                    )

    def test_parse_lines(self):
        cases = [
            ("a.b=1=2", {"a": {"b": "1=2"}}),
            ("seeds=", {"seeds": []}),
            ("seeds=x,y", {"seeds": ["x", "y"]}),
            ("# a=b", {}),
            ("nothing", {}),
        ]
        for text, expected in cases:
            with self.subTest(text):
                self.assertEqual(parse_lines(text), expected)


def set_value(configuration, path, value):
    """Set the value at a path of names and indexes."""
    *parents, last = path
    part = configuration
    for step in parents:
        part = part.setdefault(step, {}) if isinstance(part, dict) else part[step]
    part[last] = value


def change_configuration(path, value):
    """Return a configuration with another value at a path of names and indexes."""
    configuration = build_configuration(8)
    set_value(configuration, path, value)
    return configuration


LARGE_NUMBERS = (2**31, 2**53 - 1, 2**63, 2**64, 10**400, 1e300)
NUMBER_PATHS = (
    ("version",),
    ("routes", 0, "timeout-ms"),
    ("routes", 0, "target-latency-ms"),
    ("routes", 0, "priority"),
    ("routes", 0, "max-attempts"),
    ("routes", 0, "retention-s"),
    ("services", 0, "max-conns"),
    ("services", 0, "cold-start-s"),
    ("services", 0, "cold-per-s"),
    ("services", 0, "engine", "slots"),
    ("services", 0, "engine", "kv-capacity-tokens"),
    ("services", 0, "engine", "tokens-per-event"),
    ("services", 0, "engine", "pin-ms"),
    ("tenants", 0, "priority"),
    ("tenants", 0, "rate-per-s"),
    ("tenants", 0, "burst"),
    ("limits", "max-header-bytes"),
    ("limits", "max-body-bytes"),
    ("limits", "header-timeout-ms"),
    ("limits", "idle-timeout-ms"),
)
OPTIONAL_PATHS = (
    *NUMBER_PATHS[1:],
    ("routes", 0, "name"),
    ("routes", 0, "service"),
    ("routes", 0, "traffic-split"),
    ("routes", 0, "retain"),
    ("routes", 0, "public"),
    ("routes", 0, "allowed-regions"),
    ("services", 0, "engine"),
    ("tenants", 0, "api-keys"),
    ("limits",),
)


class TablesTest(unittest.TestCase):
    def test_numbers_of_any_size_are_read(self):
        """A version that is not read leaves the keys in force that it withdraws."""
        for path in NUMBER_PATHS:
            for number in LARGE_NUMBERS:
                with self.subTest(path=path, number=number):
                    table = decode_configuration(change_configuration(path, number))
                    expected = int(number) if path == ("version",) else 8
                    self.assertEqual(table.version, expected)

    def test_fields_may_be_null_like_left_out(self):
        for path in OPTIONAL_PATHS:
            with self.subTest(path):
                changed = decode_configuration(change_configuration(path, None))
                part = configuration = build_configuration(8)
                for step in path[:-1]:
                    part = part[step]
                part.pop(path[-1], None)
                self.assertEqual(changed, decode_configuration(configuration))

    def test_large_weights_keep_their_relation(self):
        split = [{"service": n, "weight": w} for n, w in (("x", 1e299), ("y", 3e299))]
        configuration = change_configuration(("routes", 2, "traffic-split"), split)
        route = decode_configuration(configuration).routes[2]
        chosen = [route.choose_service(f"k{n}") for n in range(2000)]
        self.assertAlmostEqual(chosen.count("y") / 2000, 0.75, delta=0.04)

    def test_entries_of_upstreams_may_have_large_and_whole_numbers(self):
        cases = [
            ("slots", 2**31, MAX_SLOTS),
            ("slots", 2**53 - 1, MAX_SLOTS),
            ("slots", 8.0, 8),
            ("cold-remaining-ms", None, ENTRY["slots"]),
            ("cold-remaining-ms", 10**400, ENTRY["slots"]),
            ("born", None, ENTRY["slots"]),
            ("sequence", 2**63, ENTRY["slots"]),
        ]
        for field, value, slots in cases:
            with self.subTest(field=field, value=value):
                upstream = decode_upstream("i-1", {**ENTRY, field: value})
                self.assertEqual(upstream.slots, slots)
                self.assertTrue(math.isfinite(upstream.cold_until))

    def setUp(self):
        self.table = decode_configuration(build_configuration(7))

    def test_keys(self):
        cases = [(KEY, "first"), (SECOND_KEY, "second"), ("none", None), ("", None)]
        for key, name in cases:
            with self.subTest(name):
                customer = self.table.find_customer(key)
                self.assertEqual(customer.name if customer else None, name)
        self.assertNotIn(KEY, repr(self.table))

    def test_longest_prefix_wins(self):
        configuration = build_configuration()
        longer = {
            **configuration["routes"][0],
            "name": "deep",
            "path-prefix": "/chat/d/",
        }
        configuration["routes"].append(longer)
        table = decode_configuration(configuration)
        cases = [
            ("site.example", "/chat/x", "chat"),
            ("site.example", "/chat/d/x", "deep"),
            ("site.example", "/chat", None),
            ("site.example", "/chatter/", None),
            ("other.example", "/chat/x", None),
        ]
        for host, path, expected in cases:
            with self.subTest(path):
                route = table.find_route(host, path)
                self.assertEqual(route.name if route else None, expected)

    def test_host_names_are_compared_in_any_case(self):
        """Callers' host names are in lower case when they get here."""
        path = ("routes", 0, "hostname")
        for written in ("site.example", "Site.Example", "SITE.EXAMPLE"):
            with self.subTest(written):
                table = decode_configuration(change_configuration(path, written))
                route = table.find_route("site.example", "/chat/x")
                self.assertEqual(route.name, "chat")

    def test_split_traffic_follows_the_weights(self):
        configuration = build_configuration()
        route = configuration["routes"][2]
        del route["service"]
        route["traffic-split"] = [
            {"service": "x", "weight": 90},
            {"service": "y", "weight": 10},
        ]
        route = decode_configuration(configuration).find_route(
            "site.example", "/view/1"
        )
        chosen = [route.choose_service(f"k{n}") for n in range(2000)]
        self.assertAlmostEqual(chosen.count("y") / 2000, 0.1, delta=0.03)
        self.assertEqual(chosen[0], route.choose_service("k0"))

    def test_regions_and_cold_rates(self):
        """Cases are the regions as written, and what they allow; empty for all."""
        for written, regions in ((["e", "w"], {"e", "w"}), ([], set()), (None, set())):
            with self.subTest(written):
                configuration = build_configuration()
                configuration["routes"][0]["allowed-regions"] = written
                configuration["tenants"][0]["allowed-regions"] = written
                configuration["services"][0] |= {"cold-start-s": 3, "cold-per-s": 29}
                table = decode_configuration(configuration)
                customer = configuration["tenants"][0]["name"]
                service = configuration["services"][0]["name"]
                self.assertEqual(table.routes[0].regions, regions)
                self.assertEqual(table.customers[customer].regions, regions)
                self.assertEqual(table.services[service].cold_rate, 29)
                self.assertEqual(table.services[service].cold_seconds, 3)

    def test_limits_and_kinds(self):
        by_name = {route.name: route for route in self.table.routes}
        self.assertEqual(
            [(r.repeatable, r.streaming, r.retention) for r in by_name.values()],
            [
                (False, True, 60.0),
                (False, True, None),
                (True, False, None),
                (False, False, None),
            ],
        )
        self.assertIsNone(self.table.find_quota("second"))
        self.assertEqual(self.table.find_quota("first").rate, 100)
        with self.assertRaises(KeyError):
            self.table.find_quota("unknown")
        self.assertEqual(RouteTable().find_route("h", "/"), None)

    def test_invalid_upstream_entries_are_rejected(self):
        cases = [
            ("valid", {}, True),
            ("leaving", {"state": "draining"}, True),
            ("unknown state", {"state": "resting"}, False),
            ("slots as text", {"slots": "8"}, False),
            ("no address", {"address": None}, False),
            ("host name", {"address": "server:80"}, False),
            ("port out of range", {"address": "10.0.0.1:99999"}, False),
            ("no slots", {"slots": 0}, False),
            ("coldness as text", {"cold-remaining-ms": "5"}, False),
        ]
        for name, changes, valid in cases:
            with self.subTest(name):
                entry = {**ENTRY, **changes}
                if valid:
                    self.assertEqual(decode_upstream("i-1", entry).name, "i-1")
                    continue
                with self.assertRaises(ValueError):
                    decode_upstream("i-1", entry)
        upstream = decode_upstream(
            "i-1",
            {**ENTRY, "cold-remaining-ms": 1500},
            read_at=10.0,
            regions={ENTRY["zone"]: "east"},
        )
        self.assertEqual(upstream.cold_until, 11.5)
        self.assertEqual(upstream.region, "east")
        for spec in (None, "text", 5, {"service": "engine"}):
            with self.subTest(spec=spec), self.assertRaises(ValueError):
                decode_upstream("i-1", spec)


if __name__ == "__main__":
    unittest.main()
