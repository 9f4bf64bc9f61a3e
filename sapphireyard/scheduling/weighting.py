"""Scheduler options for the latency weight of a pool.

A high weight favors latency and cache hits, a low one equal service.
"""

from dataclasses import replace

from sapphireyard.scheduling.scheduling import SchedulerOptions

FIRST_LEVEL_TOKENS = 4_000.0
"""Bound of the first level of attained service at weight 0."""

FIRST_LEVEL_GROWTH = 64.0
"""Factor by which the bound grows from weight 0 towards 1; at 1 there are no levels."""

AGING_BACKLOG_SECONDS = 60.0
"""Expected wait of a customer above which its requests do not age, at weight 0."""

AGING_BACKLOG_FACTOR = 0.25
"""Factor of `AGING_BACKLOG_SECONDS` at weight 1."""


def choose_options(latency_weight, **changes):
    """Return the scheduler's options for a pool's latency weight.

    Parameters
    ----------
    latency_weight : float
        From 0 (the worst-served customer counts most) to 1 (latency and cache
        hits count most).
    **changes
        Options that override the result.
    """
    first_level = FIRST_LEVEL_TOKENS * FIRST_LEVEL_GROWTH**latency_weight
    options = SchedulerOptions(
        first_level=first_level if latency_weight < 1 else 0.0,
        aging_backlog=AGING_BACKLOG_SECONDS * AGING_BACKLOG_FACTOR**latency_weight,
    )
    return replace(options, **changes)
