"""Planned stops of entry hosts while callers have nowhere else to go."""

import asyncio
import random
import signal
import time

from tests.platform_site import Answer
from tests.test_platform_processes import COPY_IPS, ENTRY_IPS, PlatformTestCase

GRACE_SECONDS = 5.0
HISTORY_GRACE_SECONDS = 8.0
EXCUSED_SECONDS = 3.0
"""A request sent until then may be cut off at the end of the time to stop."""
CALLERS = 16
WORK_SECONDS = 0.25
BUDGETS_SECONDS = (1.0, 1.5, 3.0)
LONG_BUDGETS_SECONDS = (1.5, 3.0, 6.0, 15.0)
RESTART_SECONDS = 0.5
"""From the end of a process until the platform starts it again."""
TURN_CALLERS = 6
BUDGET_MARGIN_SECONDS = 0.1
"""A request that has used up its budget but for this may end at its deadline."""


class Caller:
    """Sends one request after the other on kept connections, until it is told to end.

    Attributes
    ----------
    results : list of (float, str, Answer)
        When each request was sent, its id and its answer, which is not complete if
        the connection ended before.
    """

    def __init__(self, number, port, seed):
        self._number = number
        self._port = port
        self._random = random.Random(seed)
        self._connection = None
        self._sent = 0
        self.budgets = BUDGETS_SECONDS
        self.ips = ENTRY_IPS
        self.results = []

    async def run(self):
        while True:
            sent_at = time.monotonic()
            self._sent += 1
            request_id = f"{self._number:08x}{self._sent:08x}"
            budget = self._random.choice(self.budgets)
            try:
                async with asyncio.timeout(max(4.0, budget + 1.0)):
                    answer = await self._send(request_id, budget)
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                answer = Answer(0, {}, b"", False)
                self._close()
                if time.monotonic() > sent_at + budget - BUDGET_MARGIN_SECONDS:
                    continue
            self.results.append((sent_at, request_id, answer))
            await asyncio.sleep(self._random.uniform(0.0, 0.05))

    async def _send(self, request_id, budget):
        if self._connection is None:
            ip = self._random.choice(self.ips)
            self._connection = await asyncio.open_connection(ip, self._port)
        reader, writer = self._connection
        kind = self._random.choice(("view", "book", "live"))
        writer.write(
            f"POST /{kind}/x HTTP/1.1\r\nHost: site.example\r\n"
            f"Request-Id: {request_id}\r\nCredential: key-of-the-first\r\n"
            f"Deadline-Ms: {budget * 1000:g}\r\nModel: m\r\nToken-Count: 100,100\r\n"
            "Content-Length: 4\r\n\r\nbody".encode()
        )
        head = await reader.readuntil(b"\r\n\r\n")
        first, *lines = head.decode().rstrip().split("\r\n")
        headers = dict(line.lower().split(": ", 1) for line in lines)
        if "transfer-encoding" in headers:
            body = await reader.readuntil(b"0\r\n\r\n")
        else:
            body = await reader.readexactly(int(headers["content-length"]))
        if headers.get("connection") == "close":
            self._close()
        return Answer(int(first.split()[1]), headers, body)

    def _close(self):
        if self._connection is not None:
            self._connection[1].close()
            self._connection = None


class OverlappingStopTest(PlatformTestCase):
    entry_options = {
        "settings": (f"bounds.grace-s={GRACE_SECONDS:g}", "bounds.ttl_max_s=3")
    }

    async def test_late_requests_are_not_cut_off_when_all_hosts_leave(self):
        self.plain.delay_seconds = WORK_SECONDS
        self.engine.gap_seconds = WORK_SECONDS
        self.site.store.put("servers", "i-plain", self.plain.describe("plain"))
        callers = [
            Caller(number, self.site.caller_port, number) for number in range(CALLERS)
        ]
        tasks = [asyncio.ensure_future(caller.run()) for caller in callers]
        await asyncio.sleep(1.0)
        stopped_at = time.monotonic()
        processes = [self.site.process(name) for name in ("entry-1", "entry-2")]
        for process in processes:
            process.send_signal(signal.SIGTERM)
        await self.site.wait_until(
            lambda: all(process.poll() is not None for process in processes)
        )
        seconds = time.monotonic() - stopped_at
        for task in tasks:
            task.cancel()
        executed = {
            request.headers["request-id"]
            for upstream in (self.plain, self.engine)
            for request in upstream.executed
        }
        results = [result for caller in callers for result in caller.results]
        cut = [
            (sent_at - stopped_at, request_id)
            for sent_at, request_id, answer in results
            if request_id in executed
            and not answer.complete
            and sent_at > stopped_at + EXCUSED_SECONDS
        ]
        self.assertEqual(cut, [])
        self.assertEqual([process.returncode for process in processes], [0, 0])
        self.assertLess(seconds, GRACE_SECONDS)
        refused = [each for _, _, each in results if each.status == 503]
        self.assertTrue(refused)
        for answer in refused:
            self.assertGreater(float(answer.headers["retry-after"]), 0.0)
        ran_and_refused = [
            request_id
            for _, request_id, answer in results
            if answer.status == 503 and request_id in executed
        ]
        self.assertEqual(ran_and_refused, [])
        late = [
            answer.status
            for sent_at, _, answer in results
            if sent_at > stopped_at + EXCUSED_SECONDS and answer.complete
        ]
        self.assertIn(200, late)


class OneStopTest(PlatformTestCase):
    """One of two entry hosts leaves in calm, while requests wait for few slots."""

    entry_options = OverlappingStopTest.entry_options

    async def test_late_requests_are_not_cut_off_when_one_host_leaves(self):
        """Requests that were taken late were cut, also some that may not be repeated.

        Callers use their connections to the host, and open new ones, until it is gone.
        """
        self.plain.delay_seconds = WORK_SECONDS
        self.engine.gap_seconds = WORK_SECONDS / 2
        for upstream, service in ((self.plain, "plain"), (self.engine, "engine")):
            entry = upstream.describe(service, slots=4)
            self.site.store.put("servers", upstream.name, entry)
        callers = [
            Caller(number, self.site.caller_port, number) for number in range(CALLERS)
        ]
        for caller in callers:
            caller.budgets = LONG_BUDGETS_SECONDS
            caller.ips = ENTRY_IPS[:1]
        tasks = [asyncio.ensure_future(caller.run()) for caller in callers]
        await asyncio.sleep(2.0)
        stopped_at = time.monotonic()
        process = self.site.process("entry-1")
        process.send_signal(signal.SIGTERM)
        await self.site.wait_until(lambda: process.poll() is not None)
        seconds = time.monotonic() - stopped_at
        await asyncio.sleep(1.0)
        for task in tasks:
            task.cancel()
        self.assertLess(seconds, GRACE_SECONDS)
        self.assertEqual(process.returncode, 0)
        executed = {
            request.headers["request-id"]
            for upstream in (self.plain, self.engine)
            for request in upstream.executed
        }
        results = [result for caller in callers for result in caller.results]
        late = [each for each in results if each[0] > stopped_at]
        self.assertTrue(late)
        cut = [
            (sent_at - stopped_at, request_id, answer.status)
            for sent_at, request_id, answer in late
            if request_id in executed
            and answer.status != 200
            and (sent_at > stopped_at + EXCUSED_SECONDS or not answer.complete)
        ]
        self.assertEqual(cut, [])


class HistoryStopsTest(PlatformTestCase):
    """History hosts that are stopped in the same second, and started again."""

    async def restart(self, number):
        """Stop a history host as planned; start it when it has ended."""
        name = f"copy-{number}"
        process = self.site.process(name)
        stopped_at = time.monotonic()
        process.send_signal(signal.SIGTERM)
        while process.poll() is None:
            await asyncio.sleep(0.02)
        self.assertLess(time.monotonic() - stopped_at, HISTORY_GRACE_SECONDS)
        self.assertEqual(process.returncode, 0)
        await asyncio.sleep(RESTART_SECONDS)
        ip = COPY_IPS[number - 1]
        self.site.start_process(name, "history", ip, failure_domain=f"d{number}")

    async def converse(self, number, ended):
        """Run turns of a program, one after the other; return their answers."""
        answers = []
        turn = ""
        ip = ENTRY_IPS[number % len(ENTRY_IPS)]
        while not ended.is_set():
            sent, answer = await self.site.send_turn(
                ip, b"text", previous=turn, program=f"p{number}", budget=10**6
            )
            answers.append(answer)
            if answer.status == 200 and answer.complete:
                turn = sent
            await asyncio.sleep(0.02)
        return answers

    async def test_turns_go_on_while_two_history_hosts_are_restarted(self):
        """They left at once, so that too few copies were left for each turn."""
        ended = asyncio.Event()
        callers = [
            asyncio.ensure_future(self.converse(number, ended))
            for number in range(TURN_CALLERS)
        ]
        await asyncio.sleep(0.5)
        await asyncio.gather(self.restart(2), self.restart(3))
        await self.site.wait_until(
            lambda: all(
                self.site.read_log(f"copy-{n}").count("history opened") == 2
                for n in (2, 3)
            )
        )
        await asyncio.sleep(1.0)
        ended.set()
        answers = [a for each in await asyncio.gather(*callers) for a in each]
        failed = [(a.status, a.body) for a in answers if a.status != 200]
        self.assertEqual(failed, [])
        self.assertEqual([a for a in answers if not a.complete], [])
        self.assertGreater(len(answers), 10 * TURN_CALLERS)
