"""The programs of the soak, whose callers check what they receive."""

import asyncio
import random
import uuid
from collections import Counter

import aiohttp

from scripts.client import CallFailed, ProgramClient
from scripts.sites import CUSTOMERS
from standins.answers import answer_text

TURNS = 4
ANSWER_TOKENS = 12
BUDGET_TOKENS = 100_000
BUDGET_CALLS = 40
RETRY_TIMEOUT_SECONDS = 120.0
PAUSE_SECONDS = 0.1
CROWDING_PAUSE_SECONDS = 0.02
CROWDING_DEADLINE_SECONDS = 2


class Load:
    """Runs programs until `finish` and reports to the checker what callers see.

    Parameters
    ----------
    site : Site
        Where they run.
    checker : Checker
        Records violations and bookings.
    seed : int
        Decides which programs have a child, and the entry host each starts with.
    programs : int
        Number of programs that run concurrently.
    """

    def __init__(self, site, checker, *, seed, programs):
        self._site = site
        self._checker = checker
        self._random = random.Random(f"load {seed}")
        self._programs = programs
        self._stopping = False
        self._workers = []
        self._open_clients = {}
        self.counts = Counter()
        self.latencies = []

    def start(self):
        """Start the programs; return background tasks to cancel at the end."""
        self._workers = [
            asyncio.ensure_future(self._run_worker(number))
            for number in range(self._programs)
        ]
        self._workers.append(asyncio.ensure_future(self._exceed_rate()))
        return []

    async def finish(self, seconds):
        """Wait for the programs under way to end; cancel those that do not."""
        self._stopping = True
        done, pending = await asyncio.wait(self._workers, timeout=seconds)
        for client in list(self._open_clients.values()) if pending else ():
            explained = await self._explain(client)
            self._checker.record_violation(
                "finished", f"{client.program} did not end: {explained}"
            )
        for task in pending:
            task.cancel()
        for task in done:
            if task.exception() is not None:
                self._checker.record_violation(
                    "finished", f"worker: {task.exception()!r}"
                )

    def describe(self):
        """Return the counts in one line."""
        return ", ".join(f"{name} {n}" for name, n in sorted(self.counts.items()))

    async def _run_worker(self, number):
        serial = 0
        while not self._stopping:
            serial += 1
            customer = CUSTOMERS[number % len(CUSTOMERS)]
            client = self._build_client(customer, f"program-{number}-{serial}")
            self._open_clients[number] = client
            await self._run_program(client, child=self._random.random() < 0.3)
            del self._open_clients[number]
            self.counts["programs"] += 1

    def _build_client(self, customer, program, *, parent=""):
        client = ProgramClient(
            self._site.session,
            [self._site.address(name) for name in self._site.entries],
            self._site.keys[customer],
            program,
            parent=parent,
            budget=f"tokens={BUDGET_TOKENS},calls={BUDGET_CALLS}",
            retry_timeout_seconds=RETRY_TIMEOUT_SECONDS,
        )
        client.addresses = _CurrentAddresses(self._site)
        client._rotation = self._random.randrange(100)
        return client

    async def _run_program(self, client, *, child=False, end=True):
        for turn in range(TURNS):
            await self._chat(client, turn)
            if turn == 1:
                await self._book(client)
            if turn == 2 and child:
                sub = self._build_client(
                    self._find_customer(client),
                    f"{client.program}.child",
                    parent=client.program,
                )
                await self._run_program(sub, end=False)
            await asyncio.sleep(PAUSE_SECONDS)
        for problem in client.problems:
            self.counts[f"refusal {problem.get('code')}"] += 1
        await self._inspect(client)
        if end:
            await self._end(client)

    def _find_customer(self, client):
        return next(n for n, key in self._site.keys.items() if key == client.key)

    async def _explain(self, client):
        """Return what each running entry host explains about the program."""
        name = f"{self._find_customer(client)}/{client.program}"
        found = []
        for entry in self._site.live_entries():
            path = f"/admin/v1/explain/{name}"
            found.append(
                await self._site.request("GET", path, entry=entry, customer="operator")
            )
        return found

    async def _chat(self, client, turn):
        text = f"{client.program} {turn}"
        message = {"role": "user", "content": text}
        expected = answer_text([*client.messages, message], ANSWER_TOKENS)
        try:
            reply = await client.chat("guide", text, max_tokens=ANSWER_TOKENS)
        except CallFailed as failure:
            client.messages += [message, {"role": "assistant", "content": expected}]
            self._checker.record_violation(
                "finished", f"{client.program} turn {turn}: {failure}"
            )
            self.counts["failed turns"] += 1
            return
        self.counts["turns"] += 1
        self.latencies.append(reply.total_seconds)
        if client.messages[-1]["content"] != expected:
            self._checker.record_violation(
                "whole", f"{client.program} turn {turn}: unexpected answer"
            )

    async def _book(self, client):
        body = {"van": uuid.uuid4().hex}
        outcome = ""
        try:
            await client.call("booking", body)
        except CallFailed as failure:
            outcome = failure.problem.get("executed", "unknown")
            if failure.code != "outcome_unknown":
                self._checker.record_violation(
                    "finished", f"{client.program} booking: {failure}"
                )
        self.counts[f"bookings {outcome or 'made'}"] += 1
        self._checker.record_booking(body, outcome or "yes")

    async def _inspect(self, client):
        try:
            view = await client.inspect()
            history = await client.inspect("/history")
        except CallFailed as failure:
            self._checker.record_violation("history", f"{client.program}: {failure}")
            return
        self._checker.check_view(client, view, BUDGET_TOKENS, BUDGET_CALLS)
        self._checker.check_history(client, history)

    async def _end(self, client):
        try:
            await client.end()
        except CallFailed as failure:
            self._checker.record_violation(
                "finished", f"{client.program} end: {failure}"
            )

    async def _exceed_rate(self):
        """Send bookings far above the customer's rate, each without retries."""
        tasks = set()
        turn = 0
        while not self._stopping:
            turn += 1
            task = asyncio.ensure_future(self._book_once(turn))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(CROWDING_PAUSE_SECONDS)
        await asyncio.gather(*tasks)

    async def _book_once(self, turn):
        body = {"van": uuid.uuid4().hex, "crowding": True}
        names = self._site.entries
        url = f"http://{self._site.address(names[turn % len(names)])}/v1/call/booking"
        headers = {
            "Authorization": f"Bearer {self._site.keys['crowding']}",
            "Sapphireyard-Deadline": str(CROWDING_DEADLINE_SECONDS),
        }
        executed = "unknown"
        try:
            async with self._site.session.post(
                url, json=body, headers=headers
            ) as response:
                answer = await response.json(content_type=None)
                executed = answer.get("executed", "yes")
                if response.status != 200 and "code" not in answer:
                    self._checker.record_violation(
                        "whole", f"status {response.status}: {answer}"
                    )
        except aiohttp.ClientConnectorError:
            executed = "no"
        except (aiohttp.ClientError, OSError, ValueError):
            pass
        self.counts[f"crowding {executed}"] += 1
        self._checker.record_booking(body, executed, crowding=True)


class _CurrentAddresses:
    """The current addresses of the entry hosts; a restart changes them."""

    def __init__(self, site):
        self._site = site

    def __len__(self):
        return len(self._site.entries)

    def __getitem__(self, index):
        return self._site.address(self._site.entries[index])
