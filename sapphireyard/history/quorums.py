"""Answers of enough copies."""

import asyncio

from sapphireyard.exceptions import CallError
from sapphireyard.timeouts import AnswerDeadline

RETRY_SECONDS = 0.3
"""Retry-After while too few copies answer: several heartbeats."""
COPIES_CHANGED = "copies_changed"


async def gather_quorum(futures, needed, timeout):
    """Return the results of the first `needed` futures that succeed.

    Raises
    ------
    CallError
        ``history_unavailable``: too many failed, or too few answered in time.
    """
    waiting = set(futures)
    for future in waiting:  # a cancelled caller would not retrieve their errors
        future.add_done_callback(_retrieve)
    results = []
    errors = []
    deadline = AnswerDeadline(timeout)
    while len(results) < needed:
        remaining = deadline.remaining()
        if len(results) + len(waiting) < needed or remaining <= 0:
            break
        done, waiting = await asyncio.wait(
            waiting, timeout=remaining, return_when=asyncio.FIRST_COMPLETED
        )
        errors += [each.exception() for each in done if each.exception()]
        results += [each.result() for each in done if not each.exception()]
    if len(results) >= needed:
        return results
    raise build_unavailable(
        f"{len(results)} copies have answered, {needed} are needed", errors
    )


def build_unavailable(detail, errors):
    """Return the `CallError` for too few answers.

    Its code is ``copies_changed`` if the set that was used is outdated.
    """
    codes = {error.code for error in errors if isinstance(error, CallError)}
    code = COPIES_CHANGED if COPIES_CHANGED in codes else "history_unavailable"
    if errors:
        detail = f"{detail}; {errors[0]}"
    return CallError(code, detail, retry_after=RETRY_SECONDS)


def _retrieve(future):
    """Retrieve the error of a future that nothing awaits any more."""
    if not future.cancelled():
        future.exception()
