"""Background tasks that may outlive the code that awaits them."""

import asyncio
import logging

from sapphireyard.exceptions import SapphireyardError

logger = logging.getLogger(__name__)

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
