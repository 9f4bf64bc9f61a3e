"""The operators' HTTP interface of entry hosts.

All routes require an operator's key.
"""

import asyncio
import json
import logging
import signal

from aiohttp import web

from sapphireyard.callers import generated_administration
from sapphireyard.callers.generated_administration import (
    DrainOrder,
    ExplainAnswer,
    ExplainQuery,
    StatusAnswer,
    StatusQuery,
)
from sapphireyard.exceptions import CallError, PeerUnavailable
from sapphireyard.logs import PACKAGE, DecisionBuffer
from sapphireyard.metrics import build_metrics_page
from sapphireyard.programs.residency import Residency
from sapphireyard.programs.views import describe
from sapphireyard.streams.generated_messages import Done
from sapphireyard.upstreams.completions import dump_json

logger = logging.getLogger(__name__)

PEER_TIMEOUT_SECONDS = 2.0
"""Timeout of a query to another host."""

MAX_EXPLAIN_HOSTS = 32
"""Maximum number of hosts that are queried about one program."""


def add_routes(app, runtime):
    """Add the operators' routes to the application of an entry host."""
    Administration(runtime).add_routes(app)
    Residency(runtime)  # Registers itself with the peers.


def request_stop():
    """Request a graceful shutdown of this process."""
    signal.raise_signal(signal.SIGTERM)


class Administration:
    """Answers operators, and queries that other hosts send on their behalf.

    Parameters
    ----------
    runtime : Runtime
        Runtime of the process this belongs to.
    stop : callable, optional
        Starts the graceful shutdown of this process.
    """

    def __init__(self, runtime, *, stop=request_stop):
        self._runtime = runtime
        self._stop = stop
        self._decisions = DecisionBuffer()
        runtime.peers.codec.register_module(generated_administration)
        runtime.peers.register(StatusQuery, self._handle_status_query)
        runtime.peers.register(ExplainQuery, self._handle_explain_query)
        runtime.peers.register(DrainOrder, self._handle_drain_order)

    def add_routes(self, app):
        """Add the routes, and record decisions while the application runs."""
        app.router.add_get("/metrics", self._serve_metrics)
        app.router.add_get("/admin/v1/status", self._serve_status)
        app.router.add_get("/admin/v1/explain/{program:.+}", self._serve_explain)
        app.router.add_post("/admin/v1/drain", self._serve_drain)
        app.cleanup_ctx.append(self._record_decisions)

    async def _record_decisions(self, app):
        logging.getLogger(PACKAGE).addHandler(self._decisions)
        yield
        logging.getLogger(PACKAGE).removeHandler(self._decisions)

    def _check_operator(self, request):
        self._runtime.configuration.check_fresh()
        scheme, _, key = request.headers.get("Authorization", "").partition(" ")
        if scheme.lower() != "bearer":
            raise CallError("key_unknown", "a bearer key is required")
        principal = self._runtime.configuration.authenticate(key.strip())
        if not principal.operator:
            raise CallError("not_allowed", "an operator's key is required")

    async def _serve_metrics(self, request):
        self._check_operator(request)
        return build_metrics_page()

    async def _serve_status(self, request):
        self._check_operator(request)
        host = request.query.get("host", self._runtime.host)
        answer = await self._query_host(host, StatusQuery())
        return web.json_response(text=answer.body)

    async def _serve_explain(self, request):
        self._check_operator(request)
        program = request.match_info["program"]
        if "/" not in program:
            raise CallError(
                "invalid_request", "the program must have the form CUSTOMER/PROGRAM"
            )
        owner = self._runtime.ownership.locate(program)
        others = sorted(set(self._get_members()) - {owner.host})
        hosts = [owner.host, *others][:MAX_EXPLAIN_HOSTS]
        answers = await asyncio.gather(
            *(self._explain_on_host(host, program) for host in hosts)
        )
        result = {"program": program, "partition": owner.partition}
        result["owner"] = owner.host
        result["state"] = answers[0]["state"]
        result["decisions"] = sorted(
            (decision for answer in answers for decision in answer["decisions"]),
            key=lambda decision: decision["time"],
        )
        result["silent_hosts"] = [
            host
            for host, answer in zip(hosts, answers, strict=True)
            if answer["silent"]
        ]
        return web.json_response(result)

    async def _explain_on_host(self, host, program):
        try:
            answer = await self._query_host(host, ExplainQuery(program=program))
        except (PeerUnavailable, CallError):
            return {"state": None, "decisions": [], "silent": True}
        return {**json.loads(answer.body), "silent": False}

    async def _serve_drain(self, request):
        self._check_operator(request)
        try:
            host = (await request.json())["host"]
        except (ValueError, KeyError, TypeError) as error:
            raise CallError(
                "invalid_request", "the body must be a JSON object with a host"
            ) from error
        if host != self._runtime.host and host not in self._get_members():
            raise CallError("invalid_request", f"no host or upstream is named {host!r}")
        logger.info("drain requested", extra={"drained_host": host})
        await self._query_host(host, DrainOrder())
        return web.json_response({"host": host, "state": "leaving"})

    async def _query_host(self, host, message):
        try:
            return await self._runtime.peers.ask(
                host, message, timeout=PEER_TIMEOUT_SECONDS
            )
        except PeerUnavailable as error:
            raise CallError(
                "overloaded", f"host {host} did not answer: {error}", retry_after=1
            ) from error

    async def _handle_status_query(self, query, context):
        return StatusAnswer(body=dump_json(describe_host(self._runtime)))

    async def _handle_explain_query(self, query, context):
        location = self._runtime.ownership.locate(query.program)
        program = self._runtime.programs.get(location.partition, query.program)
        body = {
            "state": None if program is None else describe(program),
            "decisions": self._decisions.find(query.program),
        }
        return ExplainAnswer(body=json.dumps(body, default=str))

    async def _handle_drain_order(self, order, context):
        asyncio.get_running_loop().call_soon(self._stop)
        return Done()

    def _get_members(self):
        assignment = self._runtime.ownership.assignment
        return assignment.members if assignment is not None else {}


def describe_host(runtime):
    """Return the state of a host as a JSON object."""
    assignment = runtime.ownership.assignment
    members = assignment.members.values() if assignment is not None else ()
    now = runtime.clock.monotonic()
    return {
        "host": runtime.host,
        "incarnation": runtime.incarnation,
        "failure_domain": runtime.settings.failure_domain,
        "draining": runtime.gateway.draining,
        "open_requests": runtime.gateway.open_requests,
        "running_calls": runtime.dispatcher.running_calls,
        "programs": len(runtime.programs),
        "configuration": {
            "version": runtime.configuration.version,
            "age_seconds": round(runtime.configuration.age_seconds, 3),
        },
        "assignment": {
            "version": assignment.version if assignment is not None else 0,
            "members": [
                {
                    "host": member.host,
                    "failure_domain": member.failure_domain,
                    "state": member.state,
                    "partitions": assignment.loads[member.host],
                }
                for member in members
            ],
        },
        "upstreams": _describe_upstreams(runtime, now),
        "store_calls": dict(runtime.store.calls),
    }


def _describe_upstreams(runtime, now):
    configuration = runtime.configuration.current
    pools = configuration.pools.values() if configuration is not None else ()
    return [
        {
            "name": upstream.name,
            "pool": pool.name,
            "address": upstream.address,
            "state": upstream.state,
            "ejected": runtime.outliers.is_ejected(upstream.name, now),
        }
        for pool in pools
        for upstream in pool.upstreams
    ]
