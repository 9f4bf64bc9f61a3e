"""The front machines are stopped as planned, one after the other, under load."""

import asyncio
import random
import signal
from pathlib import Path

import harness

GAP_SECONDS = 1.0
RESTART_SECONDS = 2.0
"""From the end of a process until the platform starts it again."""
GRACE_SECONDS = 8.0
EXCUSED_SENT_SECONDS = 3.0
"""A request sent until then may be cut off in the last sixth of the time to stop."""
CALLERS = 24
BUDGET_SECONDS = 3.0


class Caller:
    """Asks a directory, keeps its answer, and sends one request after the other."""

    def __init__(self, site, upstreams, patience):
        self.site = site
        self.upstreams = upstreams
        self.patience = patience
        self.addresses = []
        self.keep_until = 0.0
        self.failed = {}
        self.channel = None
        self.results = []

    async def run(self):
        while True:
            await self.refresh()
            channel = await self.choose_channel()
            if channel is None:
                await asyncio.sleep(0.1)
                continue
            kind = random.choice(("view", "book", "live"))
            method = "GET" if kind == "view" else "POST"
            body = b"" if kind == "view" else b"a request"
            headers = self.site.build_headers(BUDGET_SECONDS)
            if kind == "live":
                headers |= {"Model": "m", "Token-Count": "100,200"}
            answer = await channel.send(
                self.site.record,
                method,
                f"/{kind}/x",
                headers,
                body,
                seconds=BUDGET_SECONDS,
            )
            self.results.append((channel.address, kind, answer))
            self.site.record.write(
                f"{answer.request_id} {kind} at {channel.address}, sent at"
                f" {answer.sent_at:.3f}: status {answer.status},"
                f" {'whole' if answer.complete else 'not whole'}"
            )
            if not answer.complete:
                self.failed[channel.address] = self.site.record.now
            await asyncio.sleep(random.uniform(0.0, 0.1))

    async def refresh(self):
        """Ask up to three directories once the answer is too old to be kept."""
        now = self.site.record.now
        if now < self.keep_until:
            return
        for front in random.sample(list(self.site.fronts), len(self.site.fronts))[:3]:
            found = await self.site.resolve(front)
            if found:
                self.addresses = found
                self.failed.clear()
                self.keep_until = self.site.record.now + self.patience
                if self.channel is not None and self.channel.address not in found:
                    self.channel.close()
                return
        self.keep_until = self.site.record.now + 0.2

    async def choose_channel(self):
        if self.channel is not None and self.channel.usable:
            return self.channel
        usable = [each for each in self.addresses if each not in self.failed]
        for address in random.sample(usable, len(usable)):
            try:
                self.channel = await harness.Channel.open(address)
                return self.channel
            except (OSError, TimeoutError):
                self.failed[address] = self.site.record.now
        self.failed.clear()
        return None


async def stop_in_turn(site, stopped):
    """Stop each front machine as planned, and start it again when it has ended."""

    async def stop(front):
        stopped[site.address(front)] = site.record.now
        site.signal(front, signal.SIGTERM)
        process = site.process(front)
        while process.poll() is None:
            await asyncio.sleep(0.02)
            if site.record.now - stopped[site.address(front)] > GRACE_SECONDS:
                site.kill(front)
        site.record.write(f"{front} has ended, status {process.poll()}")
        await asyncio.sleep(RESTART_SECONDS)
        site.start(front)

    tasks = []
    for front in site.fronts:
        tasks.append(asyncio.ensure_future(stop(front)))
        await asyncio.sleep(GAP_SECONDS)
    await asyncio.gather(*tasks)


async def case(folder):
    routes = [
        harness.build_route("view", "idempotent", "plain"),
        harness.build_route("book", "non_idempotent", "plain"),
        harness.build_route("live", "streaming", "engine"),
    ]
    async with harness.Site(folder / "record.txt", fronts=2, stores=4) as site:
        site.store.put("config", "main", harness.build_state(routes))
        upstreams = [
            await site.add_upstream("engine", events=("piece",) * 10, gap_seconds=0.1)
            for _ in range(4)
        ]
        upstreams += [
            await site.add_upstream("plain", work_seconds=0.3) for _ in range(4)
        ]
        await site.start_all()
        callers = [
            Caller(site, upstreams, 1.0 if n % 3 else 3.0) for n in range(CALLERS)
        ]
        tasks = [asyncio.ensure_future(each.run()) for each in callers]
        stopped = {}
        await asyncio.sleep(4.0)
        if harness.TROUBLE:
            await stop_in_turn(site, stopped)
        await asyncio.sleep(4.0)
        for task in tasks:
            task.cancel()
        ran = {run.request_id for each in upstreams for run in each.arrived}
        broken = 0
        results = [result for each in callers for result in each.results]
        for address, kind, answer in results:
            if answer.complete or answer.request_id not in ran:
                continue
            since = answer.sent_at - stopped.get(address, 1e9)
            seconds = answer.ended_at - answer.sent_at
            excused = since <= EXCUSED_SENT_SECONDS or seconds > BUDGET_SECONDS - 0.1
            site.record.write(
                f"{answer.request_id} ({kind}) had reached a server, and its channel"
                f" ended without a whole answer; sent {since:.2f} s after SIGTERM of"
                f" {address}, ended {seconds:.2f} s later"
                + (" (excused)" if excused else "")
            )
            broken += not excused
        site.record.write(f"{len(results)} requests, {broken} cut off")
        return harness.BROKEN if broken else harness.HELD


harness.main(Path(__file__).parent, case)
