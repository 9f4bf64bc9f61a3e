"""Checks a soak from outside: by answers, counts of upstreams, and histories."""

import asyncio
import hashlib
import json
import time
from collections import defaultdict

POLL_SECONDS = 0.3
RELEASE_SECONDS = 30.0
"""Longest time until engines have released the memory of ended programs."""

IN_FORCE_SECONDS = 10.0
"""Longest time until the newest configuration is in force on all entry hosts."""

POINTS = (
    ("order", "calls of a program run in the order issued"),
    ("history", "histories are complete and hold nothing of other programs"),
    ("budget", "no program exceeds its budget"),
    ("memory", "engines hold no memory of ended programs"),
    ("keys", "upstreams get no keys; withdrawn keys are refused within seconds"),
    ("rate", "no customer exceeds its rate and burst"),
    ("whole", "answers are complete and belong to their request"),
    ("refusal", "calls refused as not executed were not executed"),
    ("once", "bookings run at most once"),
    ("leaving", "leaving upstreams get no new calls"),
    ("stop", "planned stops cut off no request"),
    ("configuration", "the newest configuration is in force and never reverts"),
    ("finished", "every program finishes"),
)
"""Each point that is checked: its name and what must hold."""


class Checker:
    """Records violations by point, during the run and after it.

    Parameters
    ----------
    site : Site
        The site that is checked.
    rate : float
        Calls per second and burst of the customer ``crowding``.

    Attributes
    ----------
    check_counts : dict of str to int
        Number of checks of each point.
    """

    def __init__(self, site, *, rate):
        self._site = site
        self._rate = rate
        self._started = time.monotonic()
        self._violations = defaultdict(list)
        self._bookings = {}
        self._crowding_digests = set()
        self._versions = {}
        self.check_counts = defaultdict(int)

    def record_violation(self, point, text):
        """Record a violation of a point."""
        at = time.monotonic() - self._started
        self._violations[point].append(f"{at:.1f} s: {text}")

    def record_booking(self, body, executed, *, crowding=False):
        """Record whether the caller was told that a booking was executed."""
        digest = _digest(body)
        self._bookings[digest] = executed
        if crowding:
            self._crowding_digests.add(digest)

    def check_view(self, client, view, tokens, calls):
        """Check budget and order against the view of a program."""
        self.check_counts["budget"] += 1
        used = view["used"]
        if used["tokens"] > tokens or used["calls"] > calls:
            self.record_violation(
                "budget",
                f"{client.program} used {used}, its budget is {tokens} tokens and"
                f" {calls} calls",
            )
        if view["next_sequence"] != client.sequence + 1:
            self.record_violation(
                "order", f"{client.program} sent {client.sequence} calls, view: {view}"
            )

    def check_history(self, client, history):
        """Compare a stored history with the one the caller keeps."""
        self.check_counts["history"] += 1
        messages = []
        for call in history["calls"]:
            if call["route"] == "guide" and call["answer"]:
                answer = call["answer"]["choices"][0]["message"]
                messages += call["request"]["messages"]
                messages.append({"role": "assistant", "content": answer["content"]})
        if messages != client.messages:
            self.record_violation(
                "history",
                f"{client.program}: stored {messages}, expected {client.messages}",
            )
        sequences = [call["sequence"] for call in history["calls"]]
        if sequences != list(range(1, client.sequence + 1)):
            self.record_violation(
                "order",
                f"{client.program}: stored sequences {sequences},"
                f" expected 1 to {client.sequence}",
            )

    async def watch_versions(self):
        """Poll the version in force on each entry host; it must never decrease."""
        while True:
            for name in self._site.live_entries():
                version = await self._site.read_version(name)
                key = (name, self._site.cluster[name].process.pid)
                if version and version < self._versions.get(key, 0):
                    self.record_violation(
                        "configuration",
                        f"{name} went back from version {self._versions[key]}"
                        f" to {version}",
                    )
                self._versions[key] = max(version, self._versions.get(key, 0))
                self.check_counts["configuration"] += bool(version)
            await asyncio.sleep(POLL_SECONDS)

    async def check(self, load):
        """Run the final checks; return (point, text, violations) of each point."""
        await self._check_bookings()
        await self._check_keys()
        await self._check_versions()
        await self._check_memory()
        self._check_logs()
        texts = dict(POINTS)
        return [
            (point, f"{texts[point]} ({self._describe_checks(point)})", found)
            for point, found in ((p, self._violations[p]) for p, _ in POINTS)
        ]

    def _describe_checks(self, point):
        count = self.check_counts[point]
        return f"{count} checks" if count else "checked throughout the run"

    async def _check_bookings(self):
        counts = await self._site.count_bookings()
        self._check_rate(sum(counts[digest] for digest in self._crowding_digests))
        for digest, count in counts.items():
            self.check_counts["once"] += 1
            if count > 1:
                self.record_violation("once", f"{digest} ran {count} times")
            if digest not in self._bookings:
                continue
            if self._bookings[digest] == "no":
                self.record_violation(
                    "refusal", f"{digest} was refused as not executed but ran"
                )
        for digest, executed in self._bookings.items():
            self.check_counts["refusal"] += executed == "no"
            if executed == "yes" and not counts[digest]:
                self.record_violation("whole", f"{digest} was answered but never ran")

    def _check_rate(self, executed):
        """Check the rate of the customer that sends more than its rate."""
        seconds = time.monotonic() - self._started
        allowed = self._rate * (seconds + 1)
        self.check_counts["rate"] += executed
        if executed > allowed:
            self.record_violation(
                "rate", f"{executed} calls in {seconds:.1f} s, {allowed:.0f} allowed"
            )

    async def _check_keys(self):
        self.check_counts["keys"] += 1
        for name in await self._site.find_key_leaks():
            self.record_violation("keys", f"{name} received a key")

    async def _check_versions(self):
        newest = (await self._site.read_manifest()).version
        deadline = time.monotonic() + IN_FORCE_SECONDS
        late = self._site.live_entries()
        while late and time.monotonic() < deadline:
            late = [n for n in late if await self._site.read_version(n) != newest]
            await asyncio.sleep(POLL_SECONDS)
        for name in late:
            self.record_violation(
                "configuration", f"{name} does not have version {newest}"
            )

    async def _check_memory(self):
        deadline = time.monotonic() + RELEASE_SECONDS
        held = {"?": 0}
        while held and time.monotonic() < deadline:
            held = {}
            for name in self._site.engines:
                cache = await self._site.cluster.fetch(name, "/cache")
                if cache["programs"]:
                    held[name] = len(cache["programs"])
            await asyncio.sleep(POLL_SECONDS)
        self.check_counts["memory"] += 1
        if held:
            self.record_violation("memory", f"programs held: {held}")

    def _check_logs(self):
        for name in self._site.entries:
            if not self._site.cluster[name].alive:
                self.record_violation("finished", f"{name} exited unexpectedly")
            for line in self._site.read_log(name).splitlines():
                if "Traceback" in line:
                    self.record_violation("finished", f"{name}: {line[-700:]}")
                if "requests are cut off" in line:
                    self.record_violation("stop", f"{name}: {line}")


def _digest(body):
    canonical = json.dumps(body, sort_keys=True, ensure_ascii=False)
    return hashlib.blake2b(canonical.encode(), digest_size=16).hexdigest()
