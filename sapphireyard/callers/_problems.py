"""Error responses in the form ``application/problem+json``."""

import math

from aiohttp import web

from sapphireyard.upstreams.completions import dump_json

CONTENT_TYPE = "application/problem+json"


def describe_problem(error):
    """Return the JSON object that describes a `CallError` to a caller."""
    problem = {
        "type": f"urn:sapphireyard:{error.code}",
        "title": error.code.replace("_", " "),
        "status": error.status,
        "code": error.code,
        "detail": error.detail,
        "executed": error.executed,
    }
    if error.retry_after is not None:
        problem["retry_after_seconds"] = round(error.retry_after, 3)
    if error.findings:
        problem["findings"] = [
            {"place": finding.place, "message": finding.message}
            for finding in error.findings
        ]
    return problem


def build_problem_response(error):
    """Return the HTTP response for a `CallError`."""
    headers = {}
    if error.retry_after is not None:
        headers["Retry-After"] = str(max(0, math.ceil(error.retry_after)))
    return web.Response(
        status=error.status,
        text=dump_json(describe_problem(error)),
        content_type=CONTENT_TYPE,
        headers=headers,
    )
