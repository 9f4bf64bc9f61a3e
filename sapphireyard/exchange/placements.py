"""Metrics and log fields that tell where a request was placed."""


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
