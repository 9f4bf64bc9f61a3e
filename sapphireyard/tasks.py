"""Tasks that run beside their asker and may outlive it."""

import asyncio
import logging

from sapphireyard.exceptions import YardError

logger = logging.getLogger(__name__)

_running = set()
"""The event loop itself keeps no strong reference to a task."""


def start_task(coroutine, *, name=""):
    """Start a task whose end is looked at even when nobody awaits it.

    An asker may leave before the task ends, for example when its own time has
    run out. The error of the task is then logged rather than lost.

    Parameters
    ----------
    coroutine : coroutine
        What to run.
    name : str, optional
        What the task does, for the log.

    Returns
    -------
    asyncio.Task
        Await it, through `asyncio.shield` where several askers share it.
    """
    task = asyncio.ensure_future(coroutine)
    _running.add(task)
    task.add_done_callback(lambda ended: _note_end(ended, name))
    return task


def _note_end(task, name):
    _running.discard(task)
    if task.cancelled():
        return
    error = task.exception()
    if error is None:
        return
    if isinstance(error, ConnectionError):  # who asked has gone
        logger.info("%s ended: %s", name or "task", error)
        return
    level = logging.DEBUG if isinstance(error, YardError) else logging.ERROR
    logger.log(level, "%s ended: %s", name or "task", error, exc_info=error)
