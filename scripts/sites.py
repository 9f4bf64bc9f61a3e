"""A small site of real processes, configured from within this process."""

import asyncio
import time
from collections import Counter

import aiohttp

from sapphireyard.clocks import Clock
from sapphireyard.configuration.keys import create_key, digest_key
from sapphireyard.configuration.manifests import ManifestRepository
from sapphireyard.operators.site import Site as OperatorSite
from sapphireyard.ownership.assignment_store import AssignmentStore
from sapphireyard.storage.objects import ObjectStore
from scripts.client import ProgramClient

CUSTOMERS = ("nyumbani", "kitamichi")
ENTRY_FLAGS = (
    *("--renewal-seconds", "0.4"),
    *("--expiry-seconds", "1.6"),
    *("--withdrawal-seconds", "3"),
    *("--partitions", "32"),
    *("--address-ttl-seconds", "1"),
    *("--stop-seconds", "30"),
)
"""Short leases, so that lost hosts are detected quickly."""

WAIT_SECONDS = 25.0
"""Longest wait for a condition."""

POLL_SECONDS = 0.05
READ_SECONDS = 2.5
"""Time without a byte after which a client tries another entry host."""

ENGINE_SCALE = "0.5"


class Site:
    """Stand-ins and entry hosts, with the steps of operators as methods.

    Parameters
    ----------
    cluster : LocalCluster
        Where the processes run.
    entry_flags : sequence of str, optional
        Flags of each entry host.

    Attributes
    ----------
    keys : dict of str to str
        A key of each customer.
    tables : dict
        The tables last written, as plain data.
    withdrawn : set of str
        Customers whose key is withdrawn at the next write.
    customer_limits : dict of str to dict
        Fields of some customers' rows that differ from the default.
    """

    entry_module = "sapphireyard.entry"

    def __init__(self, cluster, *, entry_flags=ENTRY_FLAGS):
        self.cluster = cluster
        self.entry_flags = entry_flags
        self.keys = {name: create_key() for name in CUSTOMERS}
        self.operator_key = create_key()
        self.tables = {}
        self.withdrawn = set()
        self.customer_limits = {}
        self.session = None
        self.engines = []
        self.services = []
        self.entries = []
        self.store = None

    async def start(self, *, entries=3, engines=2, services=2, flags=(), tables=None):
        """Start all processes and write the tables."""
        timeout = aiohttp.ClientTimeout(sock_connect=1.0, sock_read=READ_SECONDS)
        connector = aiohttp.TCPConnector(limit=0)
        self.session = aiohttp.ClientSession(connector=connector, timeout=timeout)
        cluster = self.cluster
        await cluster.start_store()
        self.store = ObjectStore(f"http://{cluster['store'].address}")
        self.engines = [f"engine-{number}" for number in range(engines)]
        self.services = [f"booking-{number}" for number in range(services)]
        await asyncio.gather(
            *(self.start_engine(name) for name in self.engines),
            *(cluster.start_service(name) for name in self.services),
        )
        await self.write_tables(tables or self.build_tables())
        await asyncio.gather(
            *(self.start_entry(number, *flags) for number in range(entries))
        )
        await self.wait_serving()

    async def start_engine(self, name):
        """Start an engine stand-in."""
        await self.cluster.start_engine(name, "--name", name, "--scale", ENGINE_SCALE)

    async def start_entry(self, number, *flags):
        """Start or restart an entry host."""
        name = f"entry-{number}"
        if name not in self.entries:
            self.entries.append(name)
        await self.cluster.start_entry(
            number, *self.entry_flags, *flags, module=self.entry_module
        )

    async def start_control(self, *flags):
        """Start a control process."""
        await self.cluster.start(
            "control-0",
            "sapphireyard.control",
            *("--host", "control-0", "--failure-domain", "a"),
            *("--peer-address", "127.0.0.30:0"),
            *("--store", f"http://{self.cluster['store'].address}"),
            *flags,
        )

    async def close(self):
        """Close the clients; the cluster stops the processes."""
        if self.store is not None:
            await self.store.close()
        if self.session is not None:
            await self.session.close()

    def build_tables(self, **customer_options):
        """Return the default tables of the site."""
        options = {"rate": 500, "burst": 500, **customer_options}
        return {
            "routes": [
                _route("guide", "model", "models", repeatable=True),
                _route("booking", "service", "bookings", repeatable=False),
                _route("lookup", "service", "bookings", repeatable=True),
            ],
            "pools": [
                {"name": "models", "upstreams": self._list_upstreams(self.engines)},
                {"name": "bookings", "upstreams": self._list_upstreams(self.services)},
            ],
            "customers": [
                {"name": name, **options, **self.customer_limits.get(name, {})}
                for name in self.keys
            ],
        }

    def _list_upstreams(self, names):
        return [{"name": name, "address": self.cluster[name].address} for name in names]

    def refresh_addresses(self, tables):
        """Set the upstreams' current addresses in `tables`."""
        for pool in tables["pools"]:
            for upstream in pool["upstreams"]:
                upstream["address"] = self.cluster[upstream["name"]].address

    async def read_manifest(self):
        """Return the manifest in the store."""
        manifest, _ = await ManifestRepository(self.store).read()
        return manifest

    async def wait_in_force(self):
        """Wait until the current version is in force, as operators do."""
        site = OperatorSite(self.store, clock=Clock(), author="test")
        spread = await site.wait_in_force()
        assert spread.in_force, f"read by {spread.readers} of {spread.domains}"

    async def write_tables(self, tables):
        """Write tables and keys to the store; return the new version."""
        repository = ManifestRepository(self.store)
        manifest, object_version = await repository.read()
        if manifest is None:
            manifest = await repository.write(
                {**tables, "keys": []},
                base=None,
                object_version=0,
                author="test",
                note="",
                now=time.time(),
            )
            manifest, object_version = await repository.read()
        keys = [
            {
                "digest": digest_key(key, manifest.salt),
                "role": "customer",
                "customer": customer,
                "state": "withdrawn" if customer in self.withdrawn else "active",
                "note": "",
            }
            for customer, key in self.keys.items()
        ]
        keys.append(
            {
                "digest": digest_key(self.operator_key, manifest.salt),
                "role": "operator",
                "customer": "",
                "state": "active",
                "note": "",
            }
        )
        manifest = await repository.write(
            {**tables, "keys": keys},
            base=manifest,
            object_version=object_version,
            author="test",
            note="",
            now=time.time(),
        )
        self.tables = tables
        return manifest.version

    async def wait_serving(self):
        """Wait until each live entry host is ready and knows the assignment."""
        for name in self.live_entries():
            await wait_until(lambda: self._is_serving(name), f"{name} serves")
        await wait_until(self.is_balanced, "the partitions are balanced", seconds=120)

    async def is_balanced(self):
        """Return whether the live hosts own equal numbers of partitions."""
        assignment = await AssignmentStore(self.store).read()
        loads = {host: assignment.loads[host] for host in assignment.members}
        if set(loads) != set(self.live_entries()):
            return False
        return max(loads.values()) - min(loads.values()) <= 1

    async def _is_serving(self, name):
        status, _ = await self.request("GET", "/v1/address?program=x", entry=name)
        return status == 200

    async def read_version(self, entry):
        """Return the version of the configuration in force on a host, or 0."""
        path = "/admin/v1/status"
        _, body = await self.request("GET", path, entry=entry, customer="operator")
        return body.get("configuration", {}).get("version", 0)

    def live_entries(self):
        """Return the names of the entry hosts whose process is running."""
        return [name for name in self.entries if self.cluster[name].alive]

    def address(self, name):
        """Return the address of an entry host for callers."""
        return self.cluster[name].address

    def build_client(self, program, *, entries=None, customer="nyumbani", **options):
        """Return a retrying client that uses the given entry hosts in turn."""
        names = entries or self.live_entries()
        addresses = [self.address(name) for name in names]
        key = self.keys[customer]
        return ProgramClient(self.session, addresses, key, program, **options)

    async def request(
        self, method, path, *, entry, customer="nyumbani", body=None, headers=()
    ):
        """Send one request; return its status and JSON, or (0, {})."""
        url = f"http://{self.address(entry)}{path}"
        key = self.keys.get(customer, self.operator_key)
        sent = {"Authorization": f"Bearer {key}", **dict(headers)}
        try:
            async with self.session.request(
                method, url, json=body, headers=sent
            ) as response:
                return response.status, await response.json(content_type=None)
        except (aiohttp.ClientError, OSError, ValueError):
            return 0, {}

    async def find_owner(self, program, *, customer="nyumbani", entry=None):
        """Return the name of the entry host that owns a program."""
        asked = entry or self.live_entries()[0]
        path = f"/v1/address?program={program}"
        _, body = await self.request("GET", path, entry=asked, customer=customer)
        if not body.get("addresses"):
            return ""
        first = body["addresses"][0]["address"]
        return next((n for n in self.entries if self.address(n) == first), "")

    async def choose_program(self, owner, *, prefix="program", customer="nyumbani"):
        """Return a program id that `owner` owns."""
        for number in range(200):
            program = f"{prefix}-{number}"
            if await self.find_owner(program, customer=customer) == owner:
                return program
        raise AssertionError(f"{owner} owns none of the program ids tried")

    async def wait_owner_other_than(self, owner, program, *, entry):
        """Wait until another host owns the program."""

        async def moved():
            return await self.find_owner(program, entry=entry) not in ("", owner)

        await wait_until(moved, f"{program} moves away from {owner}")

    async def count_bookings(self):
        """Return how often each service request was executed, by digest."""
        counts = Counter()
        for name in self.services:
            if not self.cluster[name].alive:
                continue
            seen = await self.cluster.fetch(name, "/executions")
            for key, count in seen["executions"].items():
                counts[key.partition("|")[2]] += count
        return counts

    async def count_model_calls(self):
        """Return how many completions the engines started."""
        seen = [
            await self.cluster.fetch(name, "/executions")
            for name in self.engines
            if self.cluster[name].alive
        ]
        return sum(each["total"] for each in seen)

    async def find_key_leaks(self):
        """Return the running upstreams that received a customer's key."""
        found = []
        for name in [*self.engines, *self.services]:
            if not self.cluster[name].alive:
                continue
            seen = await self.cluster.fetch(name, "/executions")
            if seen["keys_seen"] or seen["authorization_seen"]:
                found.append(name)
        return found

    def read_log(self, name):
        """Return the log of a process."""
        return self.cluster[name].log.read_text()


async def wait_until(condition, what, *, seconds=WAIT_SECONDS):
    """Wait until ``await condition()`` is true."""
    deadline = time.monotonic() + seconds
    while not await condition():
        if time.monotonic() > deadline:
            raise AssertionError(f"not within {seconds:g} s: {what}")
        await asyncio.sleep(POLL_SECONDS)


def _route(name, kind, pool, *, repeatable):
    return {
        "name": name,
        "kind": kind,
        "pool": pool,
        "repeatable": repeatable,
        "timeout_seconds": 30,
    }
