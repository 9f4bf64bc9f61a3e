"""Tests of the memory of the bodies that callers are sending."""

import asyncio
import contextlib
import unittest

from sapphireyard.bodies import (
    FIRST_STEP_BYTES,
    STALLED_SECONDS,
    WAIT_SECONDS,
    ArrivingBodies,
)
from sapphireyard.exceptions import CallError
from sapphireyard.unfinished import FREE_BYTES

LIMIT = 1_000_000
SMALL, LARGE = 200_000, 900_000


class ArrivingBodiesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.bodies = ArrivingBodies(LIMIT)
        self.stack = self.enterContext(contextlib.ExitStack())
        self.stopped = []

    def open(self, length=None):
        """Return a new body, which is closed when it is stopped."""
        stack = self.stack.enter_context(contextlib.ExitStack())

        def stop(error):
            self.stopped.append((body, error.code, error.retry_after))
            stack.close()

        body = stack.enter_context(self.bodies.open(stop, length=length))
        body.close = stack.close
        return body

    async def begin(self, length):
        """Return a body for which memory was reserved, and which gets no bytes."""
        body = self.open(length)
        await self.bodies.grow(body, 0)
        return body

    async def test_a_length_is_reserved_before_it_is_read(self):
        cases = [(0, 0), (FREE_BYTES, 0), (FREE_BYTES + 1, FREE_BYTES + 1)]
        for length, reserved in cases:
            with self.subTest(length):
                body = await self.begin(length)
                self.assertEqual(self.bodies.total, reserved)
                await self.bodies.grow(body, length)
                self.assertEqual(self.bodies.total, reserved)
                body.close()
                self.assertEqual(self.bodies.total, 0)

    async def test_a_body_without_a_length_is_reserved_in_steps(self):
        body = self.open()
        for size, reserved in (
            (FREE_BYTES, 0),
            (1, FIRST_STEP_BYTES),
            (FIRST_STEP_BYTES, 2 * FIRST_STEP_BYTES),
            (FIRST_STEP_BYTES, 4 * FIRST_STEP_BYTES),
        ):
            await self.bodies.grow(body, size)
            self.assertEqual(self.bodies.total, reserved)

    async def test_a_single_body_may_exceed_the_limit(self):
        await self.begin(5 * LIMIT)
        self.assertEqual(self.bodies.total, 5 * LIMIT)

    async def test_a_stalled_body_makes_room_for_one_that_waits(self):
        stalled = await self.begin(LARGE)
        await asyncio.sleep(STALLED_SECONDS)
        self.assertEqual(self.stopped, [])
        await asyncio.wait_for(self.begin(SMALL), WAIT_SECONDS)
        self.assertEqual(self.stopped, [(stalled, "overloaded", 1.0)])
        self.assertEqual(self.bodies.total, SMALL)

    async def test_a_body_that_arrives_in_drops_makes_room(self):
        slow = await self.begin(LARGE)

        async def drip():
            while not self.stopped:
                await self.bodies.grow(slow, 100)
                await asyncio.sleep(STALLED_SECONDS / 10)

        dripping = asyncio.ensure_future(drip())
        await asyncio.wait_for(self.begin(SMALL), WAIT_SECONDS)
        await dripping

    async def test_a_body_that_arrives_in_time_is_not_stopped(self):
        """The other one is refused, with a time after which it may succeed."""
        steady = await self.begin(LARGE)

        async def send():
            while not waiting.done():
                await self.bodies.grow(steady, 50_000)
                await asyncio.sleep(0.02)

        waiting = asyncio.ensure_future(self.begin(SMALL))
        sending = asyncio.ensure_future(send())
        with self.assertRaises(CallError) as caught:
            await waiting
        await sending
        self.assertEqual(caught.exception.code, "overloaded")
        self.assertEqual(caught.exception.executed, "no")
        self.assertEqual(self.stopped, [])

    async def test_a_stopped_body_keeps_nothing(self):
        """The error that ended it kept it until the next garbage collection."""
        stalled = await self.begin(LARGE)
        stalled.parts.append(bytes(1000))
        await asyncio.sleep(STALLED_SECONDS)
        await self.begin(SMALL)
        self.assertEqual(stalled.parts, [])

    async def test_small_bodies_that_do_not_end_make_room_for_requests(self):
        """Cases are whether they are late, and whether a request is admitted."""
        for late in (False, True):
            with self.subTest(late=late):
                self.bodies = ArrivingBodies(
                    LIMIT, fits=lambda size: len(self.bodies._bodies) < 5
                )
                small = [await self.begin(100) for _ in range(5)]
                if late:
                    await asyncio.sleep(STALLED_SECONDS + 0.05)
                self.assertEqual(await self.bodies.admit(), late)
                for body in small:
                    body.close()

    async def test_bodies_that_wait_for_each_other_do_not_all_wait(self):
        """The newest one gives way at once, and the others go on."""
        bodies = [self.open() for _ in range(3)]

        async def send(body):
            while body.received < LIMIT // 2:
                await self.bodies.grow(body, 50_000)
                await asyncio.sleep(0.01)
            body.close()

        ends = await asyncio.wait_for(
            asyncio.gather(*map(send, bodies), return_exceptions=True), WAIT_SECONDS
        )
        self.assertEqual(
            [isinstance(end, CallError) for end in ends], [False] * 2 + [True]
        )

    async def test_a_complete_body_is_not_stopped(self):
        complete = await self.begin(LARGE)
        complete.complete = True
        with self.assertRaises(CallError):
            await self.begin(SMALL)
        self.assertEqual(self.stopped, [])

    async def test_a_small_body_goes_first(self):
        first = await self.begin(LARGE)
        first.complete = True
        large = asyncio.ensure_future(self.begin(LARGE))
        await asyncio.sleep(0.1)
        small = asyncio.ensure_future(self.begin(SMALL))
        await asyncio.sleep(0.1)
        first.close()
        await asyncio.wait([large, small], return_when=asyncio.FIRST_COMPLETED)
        self.assertTrue(small.done())
        self.assertFalse(large.done())
        small.result().complete = True
        small.result().close()
        await large

    async def test_no_body_waits_without_memory_of_the_process(self):
        self.bodies = ArrivingBodies(LIMIT, fits=lambda size: size < SMALL)
        self.assertEqual((await self.begin(SMALL - 1)).reserved, SMALL - 1)
        with self.assertRaises(CallError):
            await self.begin(SMALL)


if __name__ == "__main__":
    unittest.main()
