"""The weighting of a pool: latency and cache against equal service."""

from dataclasses import replace

from sapphireyard.scheduling.scheduling import SchedulerOptions

FIRST_LEVEL_TOKENS = 4_000.0
"""Bound of the first level of attained service at weight 0."""

FIRST_LEVEL_GROWTH = 64.0
"""By how much that bound grows up to weight 1, where levels end."""

AGING_BACKLOG_SECONDS = 60.0
"""Expected wait of a customer at weight 0 above which no request ages."""

AGING_BACKLOG_FACTOR = 0.25
"""What is left of that wait at weight 1."""


def choose_options(latency_weight, **changes):
    """Return the scheduler's options for a pool's latency weight.

    Parameters
    ----------
    latency_weight : float
        From 0 (the worst-served customer counts most) to 1 (latency and
        cache count most).
    **changes
        Options that are to differ.
    """
    first_level = FIRST_LEVEL_TOKENS * FIRST_LEVEL_GROWTH**latency_weight
    options = SchedulerOptions(
        first_level=first_level if latency_weight < 1 else 0.0,
        aging_backlog=AGING_BACKLOG_SECONDS * AGING_BACKLOG_FACTOR**latency_weight,
    )
    return replace(options, **changes)
