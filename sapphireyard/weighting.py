"""The weighting of a pool: latency and cache against equal service."""

from dataclasses import replace

from sapphireyard.scheduling import SchedulerOptions

FIRST_LEVEL_TOKENS = 4_000.0
"""Bound of the first level of attained service at weight 0."""

AGING_SECONDS = 30.0
"""Wait at weight 0 after which a customer's requests go by arrival."""

AGING_SPAN_SECONDS = 90.0
"""What full weight adds to that wait."""


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
    equality = 1.0 - latency_weight
    options = SchedulerOptions(
        first_level=FIRST_LEVEL_TOKENS / equality if equality > 0 else 0.0,
        aging_seconds=AGING_SECONDS + AGING_SPAN_SECONDS * latency_weight,
    )
    return replace(options, **changes)
