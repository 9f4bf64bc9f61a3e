"""Metrics and log lines that tell where a request was placed, or why it was refused."""

import logging

logger = logging.getLogger(__name__)


def record_placement(grant, metrics):
    """Count the prompt tokens of a placed request; return fields for its log line.

    Parameters
    ----------
    grant : Grant
        The slot that the request got.
    metrics : Metrics
        Counts tokens by pool. Tokens that are cached, or read again though an upstream
        keeps them, are what this host expects: upstreams do not report them.
    """
    request = grant.request
    if not request.prompt_parts:
        return {}
    again = grant.kept_tokens - grant.cached_tokens
    pool = request.pool
    metrics.count(
        "prompt_tokens", request.prefix_tokens + request.new_tokens, pool=pool
    )
    metrics.count("cached_tokens", grant.cached_tokens, pool=pool)
    metrics.count("reread_tokens", again, pool=pool)
    return {
        "placed": grant.reason,
        "prompt_tokens": request.prefix_tokens + request.new_tokens,
        "cached_tokens": grant.cached_tokens,
        "reread_tokens": again,
    }


def record_refusal(refusal, scheduler, retry_after, metrics):
    """Log and count a request that gets no slot.

    Parameters
    ----------
    refusal : Refuse
        The decision.
    scheduler : Scheduler
        Scheduler of the service that made it.
    retry_after : float
        Seconds that the caller is told.
    metrics : Metrics
        Counts refusals by pool and priority.
    """
    request = refusal.request
    metrics.count("slot_refusals", pool=request.pool, priority=request.priority)
    logger.info(
        "request refused",
        extra={
            "decision": "refuse",
            "pool": request.pool,
            "program": request.program,
            "host": request.holder,
            "customer": request.customer,
            "priority": request.priority,
            "started": request.started,
            "ahead": refusal.ahead,
            "waiting": scheduler.waiting,
            "used": scheduler.used,
            "slots": scheduler.slots,
            "retry_after": round(retry_after, 3),
        },
    )
