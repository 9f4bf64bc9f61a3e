"""Conversations whose texts are longer than what a host may keep in memory."""

import asyncio
import random
from unittest import mock

from sapphireyard.history.chains import WINDOW_BYTES
from sapphireyard.history.client import MAX_WHOLE_BYTES
from standins.scripted_upstream import End
from tests.answer_case import LENGTH_HEAD, AnswerTestCase
from tests.exchange_case import EVENTS
from tests.platform_site import build_configuration
from tests.test_platform_memory import read_peak
from tests.test_platform_processes import (
    COPY_IPS,
    ENTRY_IPS,
    EVENTS as SITE_EVENTS,
    PlatformTestCase,
)

MEMORY_MB = {"entry": 150, "copy": 160}
BODY_BYTES = 4 * 1024 * 1024
"""Largest body of a request."""
TOO_FEW_BYTES = MAX_WHOLE_BYTES + WINDOW_BYTES
WAIT_SECONDS = 30.0
CALLERS = 12
TURNS = 3
LONG_TURN_BYTES = 3_900_000
LIMIT_MS = 8000


class LongHistoryTest(AnswerTestCase):
    async def test_long_history_arrives_with_a_length(self):
        text = self.runtime.history.text = random.Random(1).randbytes(TOO_FEW_BYTES)
        await self.answer(LENGTH_HEAD, *EVENTS, End.STAY, previous_turn="t0")
        self.assertTrue(self.complete)
        (head,) = self.upstream.heads
        self.assertIn(b"Content-Length: %d\r\n" % (len(text) + len(b"body")), head)
        self.assertNotIn(b"Transfer-Encoding", head)
        self.assertEqual(self.upstream.bodies, [text + b"body"])

    async def test_history_that_ends_early_is_no_failure_of_its_upstream(self):
        """Each case has the windows that are read before all copies fail.

        The upstream has got a part of the request: no answer promises that it has not
        run, and its connection is not used again.
        """
        for windows in (0, 1, 2):
            with self.subTest(windows):
                await self.asyncSetUp()
                self.runtime.history.text = bytes(TOO_FEW_BYTES)
                self.runtime.history.readable = windows * WINDOW_BYTES
                with mock.patch.object(self.runtime.pools, "report") as report:
                    line = await self.answer(LENGTH_HEAD, End.STAY, previous_turn="t0")
                self.assertEqual(self.reply.log[-1], ("refuse", "upstream_failed"))
                self.assertIn("history not read", line.detail)
                self.assertEqual(self.upstream.requests, 0)
                report.assert_not_called()
                self.runtime.history.readable = None
                await self.answer(LENGTH_HEAD, *EVENTS, End.STAY, previous_turn="t0")
                self.assertTrue(self.complete)
                self.assertEqual(self.upstream.connections, 2)


class LongConversationTest(PlatformTestCase):
    """Hosts with as much memory as the smallest of the platform."""

    entry_options = {"settings": (f"limits.memory-mb={MEMORY_MB['entry']}",)}

    async def asyncSetUp(self):
        await super().asyncSetUp()
        limits = {"max-header-bytes": 16384, "max-body-bytes": BODY_BYTES}
        configuration = build_configuration(2, limits=limits)
        self.site.store.put("config", "main", configuration)
        await self.site.wait_until(
            lambda: all(
                '"version": 2' in self.site.read_log(f"entry-{n}") for n in (1, 2)
            )
        )

    async def converse(self, ip, program, size, previous, expected):
        """Send a turn until it is answered whole; return its id and the chain."""
        text = random.Random(len(expected)).randbytes(size)
        async with asyncio.timeout(WAIT_SECONDS):
            while True:
                turn, answer = await self.site.send_turn(
                    ip, text, previous=previous, program=program
                )
                if answer.status == 200 and answer.complete:
                    break
                self.assertEqual(answer.status, 503)
                await asyncio.sleep(float(answer.headers["Retry-After"]))
        run = self.engine.executed.pop()
        self.engine.received.clear()
        self.assertEqual(run.body, expected + text)
        output = "".join(f"{event}\n" for event in SITE_EVENTS).encode()
        return turn, run.body + output

    async def test_conversation_goes_on_however_long_it_is(self):
        """Turn 5 of 3.9 MB and turn 35 of 500 kB were refused with 413.

        Each case has the number of turns and their bytes. The last one is sent to a
        host that has served none of the others.
        """
        for number, (turns, size) in enumerate([(8, 3_900_000), (40, 500_000)]):
            with self.subTest((turns, size)):
                turn, chain = "", b""
                for _ in range(turns):
                    turn, chain = await self.converse(
                        ENTRY_IPS[0], f"p{number}", size, turn, chain
                    )
                await self.converse(ENTRY_IPS[1], f"p{number}", 8, turn, chain)
        self.check_memory()

    async def send_long_turns(self, number, answers):
        text = random.Random(number).randbytes(LONG_TURN_BYTES)
        for _ in range(TURNS):
            _, answer = await self.site.send_turn(
                ENTRY_IPS[0], text, program=f"m{number}", milliseconds=LIMIT_MS
            )
            answers.append(answer)
            await asyncio.sleep(float(answer.headers.get("Retry-After", 0)))

    async def test_long_turns_at_once_do_not_exhaust_the_memory_of_copies(self):
        """Each waited for the disk in up to four copies of its text."""
        answers = []
        await asyncio.gather(
            *(self.send_long_turns(number, answers) for number in range(CALLERS))
        )
        whole = [each for each in answers if each.status == 200 and each.complete]
        self.assertTrue(whole)
        self.check_memory()

    def check_memory(self):
        """Fail if a process has ended, or has used more memory than it has."""
        for kind, count in (("entry", len(ENTRY_IPS)), ("copy", len(COPY_IPS))):
            for number in range(1, count + 1):
                process = self.site.process(f"{kind}-{number}")
                with self.subTest(f"{kind}-{number}"):
                    self.assertIs(process.poll(), None)
                    self.assertLess(read_peak(process), MEMORY_MB[kind])
