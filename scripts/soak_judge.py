"""Judges a soak from outside: by answers, counts of upstreams, and histories."""

import asyncio
import hashlib
import json
import time
from collections import defaultdict

POLL_SECONDS = 0.3
RELEASE_SECONDS = 30.0
FORCE_SECONDS = 10.0

POINTS = (
    ("order", "calls of a program run in the order issued"),
    ("history", "histories are whole and their own"),
    ("budget", "no program exceeds its budget"),
    ("memory", "engines hold no memory of ended programs"),
    ("keys", "keys stay here and end within seconds of their withdrawal"),
    ("rate", "no customer gets more than rate and burst"),
    ("whole", "answers are whole and one's own"),
    ("refusal", "what was refused as not run did not run"),
    ("once", "bookings run at most once"),
    ("leaving", "leaving upstreams get nothing new"),
    ("stop", "planned stops cut off nothing"),
    ("configuration", "the newest configuration is in force and never reverts"),
    ("finished", "every program finishes"),
)


class Judge:
    """Collects findings by point.

    Parameters
    ----------
    site : Site
        The site judged.
    rate : float
        Calls per second and burst of the customer ``crowding``.
    """

    def __init__(self, site, *, rate):
        self._site = site
        self._rate = rate
        self._started = time.monotonic()
        self._violations = defaultdict(list)
        self._bookings = {}
        self._crowding = set()
        self._versions = {}
        self.checks = defaultdict(int)

    def note(self, point, text):
        """Note a violation."""
        at = time.monotonic() - self._started
        self._violations[point].append(f"{at:.1f} s: {text}")

    def note_booking(self, body, executed, *, crowding=False):
        """Note what a caller was told of a booking."""
        digest = _digest(body)
        self._bookings[digest] = executed
        if crowding:
            self._crowding.add(digest)

    def check_view(self, client, view, tokens, calls):
        """Judge budget and order by the view of a program."""
        self.checks["budget"] += 1
        used = view["used"]
        if used["tokens"] > tokens or used["calls"] > calls:
            self.note("budget", f"{client.program} used {used}")
        if view["next_sequence"] != client.sequence + 1:
            self.note("order", f"{client.program} at {client.sequence}: {view}")

    def check_history(self, client, history):
        """Judge a stored history by the caller's own."""
        self.checks["history"] += 1
        messages = []
        for call in history["calls"]:
            if call["route"] == "guide" and call["answer"]:
                answer = call["answer"]["choices"][0]["message"]
                messages += call["request"]["messages"]
                messages.append({"role": "assistant", "content": answer["content"]})
        if messages != client.messages:
            self.note("history", f"{client.program}: {messages} {client.messages}")
        sequences = [call["sequence"] for call in history["calls"]]
        if sequences != list(range(1, client.sequence + 1)):
            self.note("order", f"{client.program}: {sequences}")

    async def watch_versions(self):
        """Poll the version of each host; it must only grow."""
        while True:
            for name in self._site.live_entries():
                version = await self._site.read_version(name)
                key = (name, self._site.cluster[name].process.pid)
                if version and version < self._versions.get(key, 0):
                    self.note("configuration", f"{name}: {self._versions} {version}")
                self._versions[key] = max(version, self._versions.get(key, 0))
                self.checks["configuration"] += bool(version)
            await asyncio.sleep(POLL_SECONDS)

    async def judge(self, load):
        """Return (point, text, violations) of each point."""
        await self._judge_bookings()
        await self._judge_keys()
        await self._judge_versions()
        await self._judge_memory()
        self._judge_logs()
        texts = dict(POINTS)
        return [
            (point, f"{texts[point]} ({self._describe(point)})", found)
            for point, found in ((p, self._violations[p]) for p, _ in POINTS)
        ]

    def _describe(self, point):
        count = self.checks[point]
        return f"{count} checks" if count else "judged by the run"

    async def _judge_bookings(self):
        counts = await self._site.count_bookings()
        self._judge_rate(sum(counts[digest] for digest in self._crowding))
        for digest, count in counts.items():
            self.checks["once"] += 1
            if count > 1:
                self.note("once", f"{digest} ran {count} times")
            if digest not in self._bookings:
                continue
            if self._bookings[digest] == "no":
                self.note("refusal", f"{digest} was refused as not run")
        for digest, executed in self._bookings.items():
            self.checks["refusal"] += executed == "no"
            if executed == "yes" and not counts[digest]:
                self.note("whole", f"{digest} was answered and never ran")

    def _judge_rate(self, executed):
        """Judge the rate of the customer that asks for more."""
        seconds = time.monotonic() - self._started
        allowed = self._rate * (seconds + 1)
        self.checks["rate"] += executed
        if executed > allowed:
            self.note("rate", f"{executed} calls in {seconds:.1f} s, {allowed:.0f}")

    async def _judge_keys(self):
        self.checks["keys"] += 1
        for name in await self._site.find_key_leaks():
            self.note("keys", f"{name} saw a key")

    async def _judge_versions(self):
        newest = (await self._site.read_manifest()).version
        deadline = time.monotonic() + FORCE_SECONDS
        late = self._site.live_entries()
        while late and time.monotonic() < deadline:
            late = [n for n in late if await self._site.read_version(n) != newest]
            await asyncio.sleep(POLL_SECONDS)
        for name in late:
            self.note("configuration", f"{name} does not have version {newest}")

    async def _judge_memory(self):
        deadline = time.monotonic() + RELEASE_SECONDS
        held = {"?": 0}
        while held and time.monotonic() < deadline:
            held = {}
            for name in self._site.engines:
                cache = await self._site.cluster.fetch(name, "/cache")
                if cache["programs"]:
                    held[name] = len(cache["programs"])
            await asyncio.sleep(POLL_SECONDS)
        self.checks["memory"] += 1
        if held:
            self.note("memory", f"programs held: {held}")

    def _judge_logs(self):
        for name in self._site.entries:
            if not self._site.cluster[name].alive:
                self.note("finished", f"{name} ended unasked")
            for line in self._site.read_log(name).splitlines():
                if "Traceback" in line:
                    self.note("finished", f"{name}: {line[-700:]}")
                if "requests are cut off" in line:
                    self.note("stop", f"{name}: {line}")


def _digest(body):
    canonical = json.dumps(body, sort_keys=True, ensure_ascii=False)
    return hashlib.blake2b(canonical.encode(), digest_size=16).hexdigest()
