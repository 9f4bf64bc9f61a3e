"""A plain service that answers JSON requests with a new confirmation number."""

import asyncio
import dataclasses
import hashlib
import json
import uuid
from typing import Annotated, Literal

from aiohttp import web

from standins._request_counts import RequestCounts
from standins._serving import (
    Faults,
    Flag,
    ServerOptions,
    StandIn,
    drop_connection,
    hang,
    run_main,
)

EXIT_STATUS = 1
"""Exit status of an injected crash."""


@dataclasses.dataclass
class ServiceOptions(ServerOptions):
    """Flags of the service; ``--idempotent`` makes it honour idempotency keys."""

    idempotent: Annotated[bool, Flag] = False


class ServiceFaults(Faults):
    """Faults of the service.

    Attributes
    ----------
    die_now : bool
        Exit the process immediately.
    refuse : bool
        Answer every request with 503, without executing it.
    delay_seconds : float
        Delay before each request is executed.
    hang, die, drop : {'none', 'before', 'after'}
        Never answer, exit the process, or abort the connection, before or
        after the request is executed.
    silent : bool
        Send the response headers and never the body.
    count : int
        Number of requests affected by `hang`, `die`, `drop` and `silent`; -1
        for all.
    crash_marker : str
        Exit the process when a request body contains this string.
    """

    die_now: bool = False
    refuse: bool = False
    delay_seconds: float = 0.0
    hang: Literal["none", "before", "after"] = "none"
    die: Literal["none", "before", "after"] = "none"
    drop: Literal["none", "before", "after"] = "none"
    silent: bool = False
    count: int = -1
    crash_marker: str = ""


class ServiceServer(StandIn):
    """The service; `counts` has the executions by idempotency key and body."""

    faults_class = ServiceFaults

    def __init__(self, options=None):
        self.options = options or ServiceOptions()
        self.counts = RequestCounts()
        self._answers = {}
        super().__init__()

    def add_routes(self, router):
        router.add_get("/executions", self._get_executions)
        router.add_post("/{path:.*}", self._call)

    def on_faults_changed(self):
        if self.faults.die_now:
            self.exit(EXIT_STATUS)

    async def _get_executions(self, request):
        return web.json_response(self.counts.to_json())

    async def _call(self, request):
        text = await request.text()
        self.counts.inspect(request, text)
        if self.faults.refuse:
            return web.json_response({"detail": "refused"}, status=503)
        if self.faults.crash_marker and self.faults.crash_marker in text:
            self.exit(EXIT_STATUS)
        await asyncio.sleep(self.faults.delay_seconds)
        faults = self._consume_faults()
        if response := await self._apply_effect_faults(request, faults, "before"):
            return response
        answer = self._execute(request, json.loads(text or "null"))
        if response := await self._apply_effect_faults(request, faults, "after"):
            return response
        if faults.silent:
            await self._send_headers_only(request)
        return web.json_response(answer)

    def _consume_faults(self):
        if self.faults.count == 0:
            return ServiceFaults()
        if self.faults.count > 0:
            self.faults.count -= 1
        return self.faults.model_copy()

    async def _apply_effect_faults(self, request, faults, moment):
        if faults.die == moment:
            self.exit(EXIT_STATUS)
        if faults.hang == moment:
            await hang()
        if faults.drop == moment:
            return drop_connection(request)

    async def _send_headers_only(self, request):
        response = web.StreamResponse()
        response.content_type = "application/json"
        await response.prepare(request)
        await hang()

    def _execute(self, request, body):
        canonical = json.dumps(body, sort_keys=True, ensure_ascii=False)
        digest = hashlib.blake2b(canonical.encode(), digest_size=16).hexdigest()
        key = f"{request.headers.get('Idempotency-Key', '')}|{digest}"
        if self.options.idempotent and key in self._answers:
            return self._answers[key]
        self.counts.executions[key] += 1
        answer = {"confirmation": uuid.uuid4().hex, "digest": digest, "request": body}
        self._answers[key] = answer
        return answer


if __name__ == "__main__":
    run_main(ServiceOptions, ServiceServer)
