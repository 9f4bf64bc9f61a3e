"""Tests of suspects and quarantined requests."""

import asyncio
import contextlib
import types
import unittest
from unittest import mock

from hypothesis import Phase, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from sapphireyard.exceptions import CallError
from sapphireyard.generated_settings import EntrySettings
from sapphireyard.ownership.assignment import Assignment, Member
from sapphireyard.runtime import Runtime
from sapphireyard.streams.peers import Peers
from sapphireyard.upstreams.quarantine import QuarantineService
from sapphireyard.upstreams.suspicion import Quarantine, digest_chain
from standins.memory import MemoryStore

HOSTS = ("a", "b")
UPSTREAMS = ("u1", "u2")
CRASHERS = ("bad-1", "bad-2")
INNOCENTS = ("good-1", "good-2")


class CrashMachine(RuleBasedStateMachine):
    """Two hosts send requests to upstreams, and some requests crash them.

    Suspects have their upstream to themselves. The verdicts of one host reach
    the other some steps later.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.hosts = {host: Quarantine() for host in HOSTS}
        self.notices = []
        self.flights = []
        self.isolated = {}
        self.crashes = dict.fromkeys(CRASHERS + INNOCENTS, 0)
        self.informed_crashes = dict.fromkeys(CRASHERS, 0)

    def is_free(self, upstream):
        return upstream not in self.isolated

    def has_pending_notice(self, host, request):
        """Return whether a notice about a request has yet to reach a host."""
        return any(h == host and v.digest == request for h, v in self.notices)

    @rule(
        host=st.sampled_from(HOSTS),
        request=st.sampled_from(CRASHERS + INNOCENTS),
        upstream=st.sampled_from(UPSTREAMS),
    )
    def send(self, host, request, upstream):
        quarantine = self.hosts[host]
        if not self.is_free(upstream) or quarantine.is_quarantined(request, self.now):
            return
        if quarantine.is_suspect(request, self.now):
            if any(flight[2] == upstream for flight in self.flights) or self.isolated:
                return
            self.isolated[upstream] = request
        isolated = self.isolated.get(upstream) == request
        quarantine.note_start(request, upstream, self.now, isolated=isolated)
        informed = self.crashes[request] > 0 and not self.has_pending_notice(
            host, request
        )
        self.flights.append((host, request, upstream, informed))

    @precondition(lambda self: self.flights)
    @rule(data=st.data(), completed=st.booleans())
    def end(self, data, completed):
        flight = data.draw(st.sampled_from(self.flights))
        request = flight[1]
        self.flights.remove(flight)
        self.release(flight)
        completed = completed and request not in CRASHERS
        self.finish(flight, crashed=False, completed=completed)

    @precondition(lambda self: any(f[1] in CRASHERS for f in self.flights))
    @rule(data=st.data())
    def crash(self, data):
        culprits = [flight for flight in self.flights if flight[1] in CRASHERS]
        _, request, upstream, informed = data.draw(st.sampled_from(culprits))
        self.crashes[request] += 1
        self.informed_crashes[request] += informed
        for flight in [f for f in self.flights if f[2] == upstream]:
            self.flights.remove(flight)
            self.release(flight)
            self.finish(flight, crashed=True, completed=False)

    def release(self, flight):
        if self.isolated.get(flight[2]) == flight[1]:
            del self.isolated[flight[2]]

    def finish(self, flight, **outcome):
        host, request, upstream, _ = flight
        verdicts = self.hosts[host].note_end(request, upstream, self.now, **outcome)
        other = HOSTS[1 - HOSTS.index(host)]
        self.notices += [(other, verdict) for verdict in verdicts]

    @precondition(lambda self: self.notices)
    @rule()
    def deliver_notice(self):
        host, verdict = self.notices.pop(0)
        quarantine = self.hosts[host]
        if verdict.suspected:
            quarantine.suspect(verdict.digest, self.now)
        if verdict.cleared:
            quarantine.clear(verdict.digest)
        if verdict.quarantined:
            quarantine.quarantine(verdict.digest, self.now)

    @rule(seconds=st.sampled_from([0.1, 1.0, 3.0]))
    def wait(self, seconds):
        self.now += seconds
        for quarantine in self.hosts.values():
            quarantine.forget_expired(self.now)

    @invariant()
    def no_innocent_is_quarantined(self):
        for quarantine in self.hosts.values():
            assert not set(quarantine.quarantined(self.now)) & set(INNOCENTS)

    @invariant()
    def crashes_are_bounded(self):
        """At most one crash by a request whose earlier crash the host knows of.

        Runs that were in flight, or whose notice was pending, are not counted.
        """
        for request, crashes in self.informed_crashes.items():
            assert crashes <= 1, request


CrashMachine.TestCase.settings = settings(
    max_examples=150,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
    database=None,
)
CrashTest = CrashMachine.TestCase


def _blame_all_runs(quarantine, digest, upstream, now, *, isolated):
    NOTE_START(quarantine, digest, upstream, now, isolated=isolated)
    quarantine._in_flight[upstream][digest].is_isolated_suspect = True


def _clear_at_any_end(quarantine, *arguments, crashed, completed):
    return NOTE_END(quarantine, *arguments, crashed=crashed, completed=not crashed)


NOTE_START = Quarantine.note_start
NOTE_END = Quarantine.note_end
VARIANTS = [
    (
        "runs begun before the first crash lead to quarantine",
        "note_start",
        _blame_all_runs,
    ),
    ("an abandoned run clears a suspect", "note_end", _clear_at_any_end),
    ("nothing is quarantined", "quarantine", lambda *arguments, **options: None),
]


class DecisionTest(unittest.TestCase):
    def test_broken_variants_are_found(self):
        options = settings(
            CrashMachine.TestCase.settings,
            max_examples=1000,
            phases=[Phase.generate],
        )
        for name, method, variant in VARIANTS:
            with self.subTest(name):
                with mock.patch.object(Quarantine, method, variant):
                    with self.assertRaises(AssertionError):
                        run_state_machine_as_test(CrashMachine, settings=options)

    def test_outcome_of_two_runs(self):
        crash = {"crashed": True}
        completed = {"crashed": False, "completed": True}
        abandoned = {"crashed": False}
        cases = [
            ("two crashes", [crash, crash], False, True),
            ("one crash", [crash], True, False),
            ("a crash, then a complete answer", [crash, completed], False, False),
            ("a crash, then abandoned", [crash, abandoned], True, False),
            ("abandoned, then a crash", [abandoned, crash], True, False),
        ]
        for name, outcomes, suspect, quarantined in cases:
            with self.subTest(name):
                quarantine = Quarantine()
                for outcome in outcomes:
                    quarantine.note_start("d", "u", 0.0, isolated=True)
                    quarantine.note_end("d", "u", 1.0, **outcome)
                self.assertEqual(quarantine.is_suspect("d", 1.0), suspect)
                self.assertEqual(quarantine.is_quarantined("d", 1.0), quarantined)

    def test_request_abandoned_just_before_a_crash_is_suspected(self):
        for wait, suspect in ((0.5, True), (5.0, False)):
            with self.subTest(wait=wait):
                quarantine = Quarantine()
                for digest in ("d", "e"):
                    quarantine.note_start(digest, "u", 0.0)
                quarantine.note_end("d", "u", 1.0, crashed=False)
                quarantine.note_end("e", "u", 1.0 + wait, crashed=True)
                self.assertEqual(quarantine.is_suspect("d", 2.0), suspect)

    def test_memory_is_bounded(self):
        quarantine = Quarantine(entry_limit=10, suspect_seconds=5.0)
        for number in range(50):
            quarantine.note_start(str(number), "u", 0.0)
            quarantine.note_end(str(number), "u", 0.0, crashed=True)
            quarantine.quarantine(f"q{number}", 0.0, seconds=5.0)
        self.assertEqual(len(quarantine.suspects(1.0)), 10)
        self.assertEqual(len(quarantine.quarantined(1.0)), 10)
        quarantine.forget_expired(10.0)
        self.assertEqual(quarantine.suspects(1.0), [])
        self.assertEqual(quarantine._in_flight, {})

    def test_digest(self):
        cases = [
            ("the same turns", ["a", "b"], True),
            ("another turn before", ["c", "b"], False),
            ("no turn before", ["b"], False),
            ("other order", ["b", "a"], False),
        ]
        for name, other, same in cases:
            with self.subTest(name):
                equal = digest_chain(["a", "b"]) == digest_chain(other)
                self.assertEqual(equal, same)
        self.assertEqual(digest_chain(["a"]), "a")


class ServiceTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = MemoryStore()
        self.runtimes = {}
        for host in HOSTS:
            await self.add(host)
        members = {
            host: Member(host, 1, runtime.peers.address, "", "domain")
            for host, runtime in self.runtimes.items()
        }
        for runtime in self.runtimes.values():
            runtime.ownership = types.SimpleNamespace(assignment=Assignment(1, members))
        self.first, self.second = (
            runtime.quarantine for runtime in self.runtimes.values()
        )

    async def add(self, host):
        entry = EntrySettings(
            host=host,
            failure_domain="domain",
            caller_address="127.0.0.1:0",
            peer_address="127.0.0.1:0",
            store="http://127.0.0.1:1",
        )
        runtime = Runtime(entry, self.store)
        runtime.ownership = types.SimpleNamespace(assignment=None)
        runtime.peers = Peers(runtime)
        runtime.quarantine = QuarantineService(runtime)
        await runtime.peers.start()
        self.addAsyncCleanup(runtime.peers.stop)
        self.addAsyncCleanup(runtime.quarantine.stop)
        self.runtimes[host] = runtime

    async def wait_until(self, condition):
        async with asyncio.timeout(5.0):
            while not condition():
                await asyncio.sleep(0.005)

    async def crash(self, service, digest="d"):
        isolated = service.isolate(digest)
        async with isolated if service.is_suspect(digest) else contextlib.nullcontext():
            service.note_start(digest, "u")
            service.note_end(digest, "u", crashed=True)

    async def test_second_crash_on_another_host_quarantines_everywhere(self):
        await self.crash(self.first)
        await self.wait_until(lambda: self.second.is_suspect("d"))
        await self.crash(self.second)
        await self.wait_until(lambda: "d" in self.first.entries())
        for service in (self.first, self.second):
            with self.assertRaises(CallError) as caught:
                service.check("d")
            self.assertEqual(caught.exception.code, "quarantined")
        await self.wait_until(lambda: not self.second._unsaved)
        self.assertIsNotNone(await self.store.get("quarantine/d"))

    async def test_entry_survives_a_store_outage(self):
        with self.store.outage():
            await self.crash(self.first)
            await self.crash(self.first)
            await self.wait_until(lambda: "d" in self.second.entries())
        await self.first.refresh()
        await self.add("c")
        started = self.runtimes["c"].quarantine
        await started.refresh()
        self.assertIn("d", started.entries())

    async def test_released_entry(self):
        for name in ("by the service", "by deleting the object"):
            with self.subTest(name):
                await self.crash(self.first)
                await self.crash(self.first)
                for service in (self.first, self.second):
                    await service.refresh()
                if name == "by the service":
                    await self.first.release("d")
                else:
                    await self.store.delete("quarantine/d", expected_version=1)
                for service in (self.first, self.second):
                    await service.refresh()
                    service.check("d")

    async def test_expired_entry_is_deleted(self):
        await self.crash(self.first)
        await self.crash(self.first)
        await self.first.refresh()
        later = self.runtimes["b"].clock.wall() + 10 * 24 * 3600
        with mock.patch.object(self.runtimes["b"].clock, "wall", return_value=later):
            await self.second.refresh()
        self.assertIsNone(await self.store.get("quarantine/d"))

    async def test_suspects_run_one_at_a_time(self):
        running = []
        max_running = 0

        async def run(service, digest):
            nonlocal max_running
            async with service.isolate(digest):
                running.append(digest)
                max_running = max(max_running, len(running))
                await asyncio.sleep(0)
                running.remove(digest)

        runs = [run(s, f"{n}") for n in range(5) for s in (self.first, self.second)]
        await asyncio.gather(*runs)
        self.assertEqual(max_running, 1)

    async def test_suspect_quarantined_while_waiting_does_not_run(self):
        await self.crash(self.first)
        await self.wait_until(lambda: self.second.is_suspect("d"))
        async with self.first.isolate("d"):
            waiting = asyncio.ensure_future(self.second.isolate("d").__aenter__())
            self.first.note_start("d", "u")
            self.first.note_end("d", "u", crashed=True)
            await self.wait_until(lambda: "d" in self.second.entries())
        with self.assertRaises(CallError):
            await waiting

    async def test_crash_of_suspects_that_run_together_quarantines_none(self):
        for _ in range(3):
            for digest in ("d", "e"):
                self.first.note_start(digest, "u")
            for digest in ("d", "e"):
                self.first.note_end(digest, "u", crashed=True)
        self.assertEqual(self.first.entries(), {})

    async def test_isolation_that_times_out_is_overloaded(self):
        async with self.first.isolate("d"):
            with self.assertRaises(CallError) as caught:
                async with self.second.isolate("e", timeout=0.02):
                    pass
            self.assertEqual(caught.exception.code, "overloaded")
            async with self.second.isolate("e", pool="other", timeout=5.0):
                pass

    async def test_starting_host_copies_entries_from_a_peer(self):
        await self.crash(self.first)
        await self.crash(self.first, "e")
        await self.crash(self.first, "e")
        await self.second.on_start()
        self.assertTrue(self.second.is_suspect("d"))
        self.assertIn("e", self.second.entries())


if __name__ == "__main__":
    unittest.main()
