"""Background tasks that may outlive the code that awaits them."""

import asyncio
import functools
import logging

import mode

from sapphireyard.exceptions import SapphireyardError

logger = logging.getLogger(__name__)

FIRST_RESTART_SECONDS = 0.1
MAX_RESTART_SECONDS = 5.0
"""Pauses before a task that failed starts again, doubled with each failure."""
LASTING_SECONDS = 10.0
"""Run time after which a failure does not count as a repeated one."""

_running = set()
"""Strong references; the event loop itself keeps only weak ones."""


def start_task(coroutine, *, name=""):
    """Start a task whose error is logged even if nobody awaits it.

    A caller may stop waiting before the task ends, for example when its own
    deadline has passed. The error of the task is then logged rather than lost.

    Parameters
    ----------
    coroutine : coroutine
        What to run.
    name : str, optional
        Name of the task in log lines.

    Returns
    -------
    asyncio.Task
        Await it, through `asyncio.shield` where several callers share it.
    """
    task = asyncio.ensure_future(coroutine)
    _running.add(task)
    task.add_done_callback(lambda ended: _handle_end(ended, name))
    return task


def lasting_task(function):
    """Declare a task of a `mode.Service` that starts again after an error.

    An error of a task that is declared by `mode.Service.task` ends the process, with
    all requests that it serves.
    """

    @functools.wraps(function)
    async def run(service):
        loop = asyncio.get_running_loop()
        pause = FIRST_RESTART_SECONDS
        while not service.should_stop:
            started_at = loop.time()
            try:
                await function(service)
                return
            except Exception:
                if loop.time() - started_at > LASTING_SECONDS:
                    pause = FIRST_RESTART_SECONDS
                _log_failure(function, pause)
            await service.sleep(pause)
            pause = min(MAX_RESTART_SECONDS, 2 * pause)

    return mode.Service.task(run)


def lasting_timer(interval):
    """Declare a timer of a `mode.Service` that goes on after an error.

    Parameters
    ----------
    interval : float
        Seconds from one call to the next.
    """

    def decorate(function):
        @functools.wraps(function)
        async def run(service):
            try:
                await function(service)
            except Exception:
                _log_failure(function, interval)

        return mode.Service.timer(interval)(run)

    return decorate


def _log_failure(function, pause):
    logger.exception(
        "task failed and starts again",
        extra={
            "decision": "task",
            "task": function.__qualname__,
            "pause": round(pause, 1),
        },
    )


def _handle_end(task, name):
    _running.discard(task)
    if task.cancelled():
        return
    error = task.exception()
    if error is None:
        return
    if isinstance(error, ConnectionError):  # the client has disconnected
        logger.info("%s failed: %s", name or "task", error)
        return
    level = logging.DEBUG if isinstance(error, SapphireyardError) else logging.ERROR
    logger.log(level, "%s failed: %s", name or "task", error, exc_info=error)
