"""The weighting of a pool: latency and cache against equal service."""

from sapphireyard.scheduling import SchedulerOptions

QUANTUM_TOKENS = 64_000.0
"""Lead in tokens of service that a customer may get at full latency weight."""


def choose_options(latency_weight):
    """Return the scheduler's options for a pool's latency weight.

    Parameters
    ----------
    latency_weight : float
        From 0 (the worst-served customer counts most) to 1 (latency and
        cache count most).
    """
    return SchedulerOptions(share_quantum=latency_weight * QUANTUM_TOKENS)
