"""Errors of background tasks."""

import asyncio
import unittest

import mode

from sapphireyard import tasks
from sapphireyard.tasks import lasting_task, lasting_timer

PAUSE_SECONDS = 0.01
RUNS = 3


class FailingService(mode.Service):
    """Fails in a task and in a timer before they succeed."""

    def __init__(self):
        super().__init__()
        self.runs = {"task": 0, "timer": 0}
        self.done = asyncio.Event()

    def run(self, name):
        self.runs[name] += 1
        if self.runs[name] < RUNS:
            raise ValueError(name)
        if min(self.runs.values()) >= RUNS:
            self.done.set()

    @lasting_task
    async def _follow(self):
        self.run("task")

    @lasting_timer(PAUSE_SECONDS)
    async def _tick(self):
        self.run("timer")


class LastingTaskTest(unittest.IsolatedAsyncioTestCase):
    async def test_error_of_a_task_does_not_end_its_service(self):
        first, tasks.FIRST_RESTART_SECONDS = tasks.FIRST_RESTART_SECONDS, PAUSE_SECONDS
        self.addCleanup(setattr, tasks, "FIRST_RESTART_SECONDS", first)
        service = FailingService()
        with self.assertLogs("sapphireyard.tasks") as logged:
            await service.start()
            async with asyncio.timeout(5.0):
                await service.done.wait()
        self.assertIsNone(service.crash_reason)
        await service.stop()
        self.assertEqual(service.runs["task"], RUNS)
        self.assertEqual(
            {record.task for record in logged.records},
            {"FailingService._follow", "FailingService._tick"},
        )

    async def test_task_stops_with_its_service(self):
        service = FailingService()
        with self.assertLogs("sapphireyard.tasks"):
            await service.start()
            await asyncio.sleep(0)
            async with asyncio.timeout(1.0):
                await service.stop()
