"""Faults of the platform's deployment: its hosts, its store, its upstreams."""

import asyncio
import signal
from dataclasses import dataclass
from time import monotonic

from scripts.fault_series import FaultSeries
from scripts.site_checker import (
    CONFIG_APPLY_SECONDS,
    GRACE_SECONDS,
    HISTORY_NETWORK,
)
from tests.platform_site import build_configuration

FREEZE_SECONDS = (0.3, 5.0)
OUTAGE_SECONDS = (0.5, 6.0)
DOWN_SECONDS = (0.2, 3.0)
POLL_SECONDS = 0.05
MIN_UNTOUCHED = 2
"""Hosts of each role that are left without a fault."""
MAX_AT_ONCE = 3
PLANNED = ("stop", "reload", "version", "drain", "remove", "announce")
"""Kinds of faults that are planned work."""
BOUNDS = (
    "bounds.contact-ms=3000",
    "bounds.drain-ms=2000",
    "bounds.config-apply-ms=2000",
    "bounds.recover-s=12",
    "bounds.ttl_max_s=5",
    "heartbeat-ms=1200",
)


@dataclass
class Host:
    """A process of the deployment, and whether it is meant to run."""

    name: str
    role: str
    ip: str
    failure_domain: str
    unread: bool = False
    running: bool = False
    faulty: bool = False


class Hosts:
    """All processes of the deployment.

    Parameters
    ----------
    site : PlatformSite
        Starts them.
    checker : SiteChecker
        Is told of disturbances, and of processes that end by themselves.
    """

    def __init__(self, site, checker):
        self._site = site
        self._checker = checker
        self._bootstrap = True
        self.all = []

    def start(self, *, entries, histories):
        """Start all hosts; nobody reads what the last one of each role prints."""
        for role, number, network in (
            ("history", histories, HISTORY_NETWORK),
            ("entry", entries, "127.0.1."),
        ):
            for n in range(1, number + 1):
                domain = f"d{n % 4}"
                host = Host(f"{role}-{n}", role, f"{network}{n}", domain)
                host.unread = n == number
                self.all.append(host)
                self.start_one(host)
        self._bootstrap = False

    def start_one(self, host):
        """Start or restart a host."""
        self._site.start_process(
            host.name,
            host.role,
            host.ip,
            failure_domain=host.failure_domain,
            bootstrap=self._bootstrap,
            settings=BOUNDS,
            unread=host.unread,
        )
        host.running = True

    def kill(self, host):
        """Kill a host."""
        host.running = False
        self._site.kill(host.name)

    async def stop(self, host):
        """Stop a host as planned; it is killed after the time that it may take."""
        host.running = False
        process = self._site.process(host.name)
        process.send_signal(signal.SIGTERM)
        deadline = monotonic() + GRACE_SECONDS
        while process.poll() is None and monotonic() < deadline:
            await asyncio.sleep(POLL_SECONDS)
        if process.poll() is None:
            self._checker.counts["stops that took too long"] += 1
        elif process.returncode:
            self._record_end(host, process.returncode)
        self._site.kill(host.name)

    async def watch(self):
        """Record processes that end by themselves, and restart them."""
        while True:
            for host in self.all:
                status = self._site.process(host.name).poll() if host.running else None
                if status is not None:
                    self._record_end(host, status)
                    self.kill(host)
                    self.start_one(host)
            await asyncio.sleep(POLL_SECONDS)

    def _record_end(self, host, status):
        tail = self._site.read_log(host.name).splitlines()[-3:]
        lines = "\n".join(f"    {line[-400:]}" for line in tail)
        self._checker.record_violation(
            "FAULT", f"{host.name} ended with status {status}\n{lines}"
        )


class SiteFaults(FaultSeries):
    """Injects the faults of a seed.

    Parameters
    ----------
    site : PlatformSite
        The deployment.
    hosts : Hosts
        Its processes.
    fleet : Fleet
        Its upstreams.
    traffic : Traffic
        Sends the probes of new versions.
    checker : SiteChecker
        Is told of each fault.
    seed : int
        Fixes the faults and their order.
    only : tuple of str
        Kinds of faults to use; all if empty.
    """

    def __init__(self, site, hosts, fleet, traffic, checker, *, seed, only=()):
        super().__init__(checker, seed=seed)
        self._site = site
        self._hosts = hosts
        self._disturbances = checker.disturbances
        self._traffic = traffic
        self._version = 1
        self._versions_lock = asyncio.Lock()
        self._is_store_faulty = False
        kinds = {
            "kill": self._kill,
            "freeze": self._freeze,
            "stop": self._stop,
            "reload": self._reload,
            "outage": self._interrupt_store,
            "silence": self._silence_connections,
            "version": self._change_version,
            "drain": fleet.drain,
            "remove": fleet.remove,
            "announce": fleet.announce,
            "crash": fleet.crash,
            "disturb": fleet.disturb,
        }
        self._kinds = {name: kinds[name] for name in only or kinds}

    async def kill_all(self):
        """Kill all processes at once, and start them again within a second."""
        spans = [self._disturbances.begin(host.ip, "kill") for host in self._hosts.all]
        for host in self._hosts.all:
            self._hosts.kill(host)
        await asyncio.sleep(self._random.uniform(0.1, 0.9))
        for host, span in zip(self._hosts.all, spans):
            self._hosts.start_one(host)
            span.end = monotonic()

    def _choose_hosts(self):
        """Return one host, or several of one role, that no fault touches."""
        role = self._random.choice(("entry", "history"))
        free = [each for each in self._hosts.all if each.role == role]
        free = [each for each in free if not each.faulty]
        count = min(self._random.randint(1, MAX_AT_ONCE), len(free) - MIN_UNTOUCHED)
        chosen = self._random.sample(free, max(0, count))
        for host in chosen:
            host.faulty = True
        return chosen

    async def _on_hosts(self, fault):
        """Apply a fault to the chosen hosts, some time after one another."""

        async def apply(host):
            await asyncio.sleep(self._random.uniform(0, 2))
            try:
                await fault(host)
            finally:
                host.faulty = False

        await asyncio.gather(*map(apply, self._choose_hosts()))

    async def _kill(self):
        async def kill(host):
            span = self._disturbances.begin(host.ip, "kill")
            self._hosts.kill(host)
            await asyncio.sleep(self._random.uniform(*DOWN_SECONDS))
            self._hosts.start_one(host)
            span.end = monotonic()

        await self._on_hosts(kill)

    async def _freeze(self):
        async def freeze(host):
            span = self._disturbances.begin(host.ip, "freeze")
            self._site.signal(host.name, signal.SIGSTOP)
            await asyncio.sleep(self._random.uniform(*FREEZE_SECONDS))
            self._site.signal(host.name, signal.SIGCONT)
            span.end = monotonic()

        await self._on_hosts(freeze)

    async def _stop(self):
        async def stop(host):
            span = self._disturbances.begin(host.ip, "stop")
            await self._hosts.stop(host)
            span.end = monotonic()
            span = self._disturbances.begin(host.ip, "restart after stop")
            await asyncio.sleep(self._random.uniform(*DOWN_SECONDS))
            self._hosts.start_one(host)
            span.end = monotonic()

        await self._on_hosts(stop)

    async def _reload(self):
        for host in self._hosts.all:
            if host.running and self._random.random() < 0.5:
                self._site.signal(host.name, signal.SIGHUP)

    async def _interrupt_store(self):
        if self._is_store_faulty:
            return
        self._is_store_faulty = True
        span = self._disturbances.begin("", "outage")
        faults = {"outage": self._random.choice(["refuse", "limit", "hang", "drop"])}
        if self._random.random() < 0.3:
            faults = {"delay_seconds": self._random.uniform(0.1, 1.5)}
        self._set_store_faults(faults)
        await asyncio.sleep(self._random.uniform(*OUTAGE_SECONDS))
        self._set_store_faults({"outage": "none", "delay_seconds": 0.0})
        span.end = monotonic()
        self._is_store_faulty = False

    def _set_store_faults(self, faults):
        store = self._site.store
        store.faults = store.faults.merge(faults)
        store.on_faults_changed()

    async def _silence_connections(self):
        """Let all open connections to the store fall silent; new ones work."""
        self._disturbances.begin("*", "silence", seconds=0.0)
        self._site.store.silence_connections()

    async def _change_version(self):
        """Write some versions; each replaces a route, the last one must be in force."""
        async with self._versions_lock:
            for _ in range(self._random.randint(1, 3)):
                old = self._version
                self._version += self._random.randint(1, 5)
                self.write_version()
                await asyncio.sleep(self._random.uniform(0.0, 0.5))
            await asyncio.sleep(CONFIG_APPLY_SECONDS)
            for host in self._hosts.all:
                if host.role == "entry" and host.running:
                    await self._probe(host, old)

    def write_version(self):
        """Write the newest version of the configuration."""
        configuration = build_configuration(self._version)
        route = next(r for r in configuration["routes"] if r["name"] == "view")
        name = f"new-{self._version}"
        added = {**route, "name": name, "path-prefix": f"/{name}/"}
        configuration["routes"].append(added)
        for tenant in configuration["tenants"]:
            tenant["rate-per-s"] = 0
        self._site.store.put("config", "main", configuration)

    async def _probe(self, host, old):
        """Check that a host knows the newest version and none before."""
        for version, denied in ((self._version, False), (old, True)):
            attempt = await self._traffic.probe(host.ip, f"/new-{version}/x")
            self._checker.counts["probes of versions"] += attempt.complete
            is_wrong = attempt.complete and (attempt.status == 404) != denied
            if (
                is_wrong
                and attempt.status != 503
                and self._disturbances.is_in_touch(
                    host.ip, attempt.sent_at, attempt.ended_at
                )
            ):
                self._checker.record_violation(
                    "CONFIG",
                    f"{host.name} answered {attempt.status} for version {version},"
                    f" the newest is {self._version}",
                )
