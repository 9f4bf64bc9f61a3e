"""A plain service: JSON in, a fresh confirmation number out."""

import asyncio
import dataclasses
import hashlib
import json
import uuid
from typing import Annotated, Literal

from aiohttp import web

from standins._evidence import Evidence
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
"""Exit status of a death that was ordered."""


@dataclasses.dataclass
class ServiceOptions(ServerOptions):
    """Flags of the service; ``--idempotent`` makes it know idempotency keys."""

    idempotent: Annotated[bool, Flag] = False


class ServiceFaults(Faults):
    """Faults of the service.

    Attributes
    ----------
    die_now : bool
        End the process at once.
    refuse : bool
        Answer every request with 503 before any effect.
    delay_seconds : float
        Time that each request takes before its effect.
    hang, die, drop : {'none', 'before', 'after'}
        Never answer, end the process, or cut the connection, before or after
        the effect.
    silent : bool
        Answer with headers and never send the body.
    count : int
        How many requests `hang`, `die`, `drop` and `silent` meet; -1 for all.
    crash_marker : str
        End the process when a body has this word.
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
    """The service; `evidence` counts executions by idempotency key and body."""

    faults_class = ServiceFaults

    def __init__(self, options=None):
        self.options = options or ServiceOptions()
        self.evidence = Evidence()
        self._answers = {}
        super().__init__()

    def add_routes(self, router):
        router.add_get("/executions", self._show_executions)
        router.add_post("/{path:.*}", self._call)

    def faults_changed(self):
        if self.faults.die_now:
            self.exit(EXIT_STATUS)

    async def _show_executions(self, request):
        return web.json_response(self.evidence.to_json())

    async def _call(self, request):
        text = await request.text()
        self.evidence.inspect(request, text)
        if self.faults.refuse:
            return web.json_response({"detail": "refused"}, status=503)
        if self.faults.crash_marker and self.faults.crash_marker in text:
            self.exit(EXIT_STATUS)
        await asyncio.sleep(self.faults.delay_seconds)
        faults = self._take_faults()
        if response := await self._strike_effect(request, faults, "before"):
            return response
        answer = self._execute(request, json.loads(text or "null"))
        if response := await self._strike_effect(request, faults, "after"):
            return response
        if faults.silent:
            await self._answer_headers(request)
        return web.json_response(answer)

    def _take_faults(self):
        if self.faults.count == 0:
            return ServiceFaults()
        if self.faults.count > 0:
            self.faults.count -= 1
        return self.faults.model_copy()

    async def _strike_effect(self, request, faults, moment):
        if faults.die == moment:
            self.exit(EXIT_STATUS)
        if faults.hang == moment:
            await hang()
        if faults.drop == moment:
            return drop_connection(request)

    async def _answer_headers(self, request):
        response = web.StreamResponse()
        response.content_type = "application/json"
        await response.prepare(request)
        await hang()

    def _execute(self, request, body):
        canonical = json.dumps(body, sort_keys=True, ensure_ascii=False)
        digest = hashlib.blake2b(canonical.encode(), digest_size=16).hexdigest()
        name = f"{request.headers.get('Idempotency-Key', '')}|{digest}"
        if self.options.idempotent and name in self._answers:
            return self._answers[name]
        self.evidence.executions[name] += 1
        answer = {"confirmation": uuid.uuid4().hex, "digest": digest, "request": body}
        self._answers[name] = answer
        return answer


if __name__ == "__main__":
    run_main(ServiceOptions, ServiceServer)
