"""The callers' HTTP interface.

Any entry host accepts any call and forwards it over the internal streams to
the owner of the program. The caller's key is checked here and is not
forwarded.
"""

import asyncio
import contextlib
import logging
import os
import secrets
import socket
from types import SimpleNamespace

import mode
from aiohttp import web

from sapphireyard.bodies import ArrivingBodies
from sapphireyard.callers._problems import build_problem_response
from sapphireyard.callers._requests import (
    check_chat_body,
    check_program_id,
    parse_headers,
    parse_json_object,
)
from sapphireyard.callers.forwarder import Forwarder
from sapphireyard.callers.replies import KEY_WITHDRAWN, Reply, build_withdrawn_error
from sapphireyard.configuration.tables import PUBLIC_CUSTOMER
from sapphireyard.exceptions import EXECUTED_UNKNOWN, CallError, SapphireyardError
from sapphireyard.intake import open_listener
from sapphireyard.serving import ApplicationRunner, ConnectionSweep
from sapphireyard.streams.generated_messages import ForwardCall, InspectProgram
from sapphireyard.upstreams.completions import digest_text, dump_json

logger = logging.getLogger(__name__)

BODY_TIMEOUT_SECONDS = 10.0
"""Timeout for receiving a request body."""

QUERY_TIMEOUT_SECONDS = 10.0
SHUTDOWN_TIMEOUT_SECONDS = 1.0
HTTP_ERROR_CODES = {404: "route_unknown", 405: "method_not_allowed"}
"""Error codes for the HTTP errors of aiohttp's router."""

LIMITS = SimpleNamespace(header_seconds=10.0, idle_seconds=3600.0)
"""Times for the head of a request, and for a connection without one."""
BODY = "body"
"""Key of a request's `ArrivingBody`."""

CLIENT_CLOSED_STATUS = 499
"""Status for requests whose caller has disconnected."""


class Gateway(mode.Service):
    """Serves callers over HTTP.

    Parameters
    ----------
    runtime : Runtime
        Runtime of the process this belongs to.
    add_routes : sequence of callable, optional
        Functions that add further routes, called with the application and the
        runtime.
    """

    def __init__(self, runtime, *, add_routes=()):
        super().__init__()
        self._runtime = runtime
        self._add_routes = add_routes
        self._forwarder = Forwarder(runtime)
        self._runner = None
        self._site = None
        self._address = ""
        self._listener_closed = False
        self._requests = {}
        self._bodies = ArrivingBodies(runtime.settings.body_memory_bytes)
        self.draining = False

    @property
    def address(self):
        """str: IP:PORT on which callers are served."""
        return self._address

    @property
    def open_requests(self):
        """int: Number of callers' requests in progress."""
        return len(self._requests)

    def build_application(self):
        """Return the aiohttp application."""
        settings = self._runtime.settings
        app = web.Application(
            client_max_size=settings.body_bytes, middlewares=[self._handle_request]
        )
        app.on_response_prepare.append(self._close_connection_when_draining)
        app.router.add_get("/healthz", self._serve_health)
        app.router.add_get("/readyz", self._serve_ready)
        app.router.add_get("/v1/address", self._serve_address)
        app.router.add_post("/v1/chat/completions", self._serve_chat)
        app.router.add_post("/v1/call/{route}", self._serve_call)
        app.router.add_get("/v1/programs/{program}", self._serve_program)
        app.router.add_get("/v1/programs/{program}/history", self._serve_history)
        app.router.add_delete("/v1/programs/{program}", self._serve_end)
        for add in self._add_routes:
            add(app, self._runtime)
        return app

    async def _close_connection_when_draining(self, request, response):
        """Make callers of a draining host reconnect, possibly to another host."""
        if self.draining:
            response.force_close()

    async def listen(self):
        """Open the listening socket for callers."""
        settings = self._runtime.settings
        self._runner = ApplicationRunner(
            self.build_application(),
            intake=self._runtime.intake,
            get_head_bytes=lambda: settings.header_bytes,
            shutdown_timeout=SHUTDOWN_TIMEOUT_SECONDS,
        )
        await self._runner.setup()
        listener = open_listener(settings.caller_address)
        self._site = web.SockSite(self._runner, listener)
        await self._site.start()
        await self.add_runtime_dependency(
            ConnectionSweep(self._runner.server, lambda: LIMITS)
        )
        ip, port = self._runner.addresses[0][:2]
        self._address = f"{ip}:{port}"

    async def close_listener(self):
        """Stop accepting connections; open ones close after their next response.

        Pending connections are accepted in the same step that closes the
        socket, as the kernel resets those still in its queue.
        """
        if self._listener_closed:
            return
        self._listener_closed = True
        pending = []
        for listener in self._site._server.sockets:
            pending += _accept_pending(listener)
        self._site._server.close()
        loop = asyncio.get_running_loop()
        for connection in pending:
            await loop.connect_accepted_socket(self._runner.server, connection)

    async def on_start(self):
        if self._site is None:
            await self.listen()

    async def on_stop(self):
        if self._runner is not None:
            await self._runner.cleanup()

    def cancel_requests_of_withdrawn_keys(self, is_withdrawn):
        """Cancel the open requests whose key was withdrawn."""
        for task, key_digest in list(self._requests.items()):
            if key_digest and is_withdrawn(key_digest):
                task.cancel(KEY_WITHDRAWN)

    @web.middleware
    async def _handle_request(self, request, handler):
        response = await self._respond(request, handler)
        if self.draining and not response.prepared:
            response.force_close()
        return response

    async def _respond(self, request, handler):
        """Return the handler's response, or an error response if it raises."""
        task = asyncio.current_task()
        self._requests[task] = ""
        stop, length = request.protocol.stop_body, request.content_length
        try:
            with self._bodies.open(stop, length=length) as body:
                request[BODY] = body
                return await handler(request)
        except CallError as error:
            return build_problem_response(error)
        except web.HTTPRequestEntityTooLarge:
            limit = self._runtime.settings.body_bytes
            error = CallError("request_too_large", f"the limit is {limit} bytes")
            return build_problem_response(error)
        except web.HTTPException as error:
            code = HTTP_ERROR_CODES.get(error.status)
            if code is None:
                raise
            return build_problem_response(
                CallError(code, f"{request.method} {request.path} is not supported")
            )
        except asyncio.CancelledError as error:
            if error.args != (KEY_WITHDRAWN,):
                raise
            task.uncancel()
            return build_problem_response(build_withdrawn_error())
        except ConnectionError:
            logger.info("caller disconnected: %s %s", request.method, request.path)
            return web.Response(status=CLIENT_CLOSED_STATUS)
        except SapphireyardError as error:
            logger.warning("request failed: %s", error)
            return build_problem_response(
                CallError("internal_error", error.code, executed=EXECUTED_UNKNOWN)
            )
        except Exception:
            logger.exception("request failed")
            return build_problem_response(
                CallError("internal_error", "fault", executed=EXECUTED_UNKNOWN)
            )
        finally:
            self._requests.pop(task, None)

    async def _serve_health(self, request):
        return web.json_response({"status": "alive", "host": self._runtime.host})

    async def _serve_ready(self, request):
        if self.draining:
            raise CallError("draining", "the host is shutting down", retry_after=1)
        self._runtime.configuration.check_fresh()
        return web.json_response({"status": "ready", "host": self._runtime.host})

    async def _serve_address(self, request):
        principal = self._authenticate(request)
        program = request.query.get("program", "")
        if program:
            check_program_id(program)
        members = self._runtime.ownership.owner_and_successors(
            f"{principal.customer}/{program}"
        )
        return web.json_response(
            {
                "addresses": [
                    {
                        "address": member.caller_address,
                        "failure_domain": member.failure_domain,
                    }
                    for member in members
                ],
                "ttl_seconds": self._runtime.settings.address_ttl_seconds,
            }
        )

    async def _serve_chat(self, request):
        self._runtime.configuration.check_fresh()
        routes = self._runtime.configuration.current.routes.values()
        key_optional = any(route.kind == "model" and route.open for route in routes)
        principal = self._authenticate(request, key_optional=key_optional)
        body = await self._read_body(request)
        check_chat_body(body)
        route = self._find_route(principal, body["model"], kind="model")
        return await self._forward_call(
            request, principal, route, body, stream=body.get("stream", False)
        )

    async def _serve_call(self, request):
        self._runtime.configuration.check_fresh()
        name = request.match_info["route"]
        route = self._runtime.configuration.current.routes.get(name)
        key_optional = route is not None and route.open
        principal = self._authenticate(request, key_optional=key_optional)
        route = self._find_route(principal, name, kind="service")
        body = await self._read_body(request)
        return await self._forward_call(request, principal, route, body, stream=False)

    async def _serve_program(self, request):
        return await self._inspect(request)

    async def _serve_history(self, request):
        return await self._inspect(request, history=True)

    async def _serve_end(self, request):
        return await self._inspect(request, end=True)

    async def _read_body(self, request):
        limit = self._runtime.settings.body_bytes
        if (request.content_length or 0) > limit:
            raise CallError("request_too_large", f"the limit is {limit} bytes")
        body = request[BODY]
        try:
            async with asyncio.timeout(BODY_TIMEOUT_SECONDS):
                await self._bodies.grow(body, 0)
                async for piece in request.content.iter_any():
                    if body.received + len(piece) > limit:
                        raise CallError(
                            "request_too_large", f"the limit is {limit} bytes"
                        )
                    await self._bodies.grow(body, len(piece))
                    body.parts.append(piece)
        except TimeoutError as error:
            raise CallError(
                "invalid_request",
                f"the body was not received within {BODY_TIMEOUT_SECONDS:g} s",
            ) from error
        except web.RequestPayloadError as error:
            raise CallError("invalid_request", f"cannot read body: {error}") from error
        body.complete = True
        text = b"".join(body.parts)
        body.parts.clear()
        return parse_json_object(text)

    def _find_route(self, principal, name, *, kind):
        """Return the route called `name` that a principal may see.

        Without a key, routes that need one and unknown ones are refused alike.
        """
        route = self._runtime.configuration.current.routes.get(name)
        if principal is None and (route is None or not route.open):
            raise CallError("key_unknown", "a bearer key is required")
        if route is None or route.kind != kind:
            raise CallError("route_unknown", f"no {kind} route {name!r}")
        return route

    def _authenticate(self, request, *, key_optional=False):
        """Return the principal of a request; None for an open route without a key."""
        self._runtime.configuration.check_fresh()
        header = request.headers.get("Authorization", "")
        scheme, _, key = header.partition(" ")
        if key_optional and not header:
            return None
        if scheme.lower() != "bearer" or not key.strip():
            raise CallError("key_unknown", "a bearer key is required")
        principal = self._runtime.configuration.authenticate(key.strip())
        if principal.operator:
            raise CallError("not_allowed", "an operator's key cannot make calls")
        self._requests[asyncio.current_task()] = principal.key_digest
        return principal

    async def _forward_call(self, request, principal, route, body, *, stream):
        customer = principal.customer if principal else PUBLIC_CUSTOMER
        if not route.open and route.customers and customer not in route.customers:
            raise CallError(
                "not_allowed", f"the customer may not use route {route.name!r}"
            )
        headers = parse_headers(request.headers)
        if principal is None and headers.program:
            raise CallError("key_unknown", "calls of a program require a bearer key")
        call = ForwardCall(
            customer=customer,
            program=headers.program,
            root=f"{customer}/{headers.parent or headers.program}",
            parent=headers.parent,
            sequence=headers.sequence,
            route=route.name,
            body=dump_json(body),
            stream=stream,
            idempotency_key=headers.idempotency_key,
            key_digest=principal.key_digest if principal else "",
            budget_tokens=headers.budget_tokens,
            budget_calls=headers.budget_calls,
            budget_seconds=headers.budget_seconds,
        )
        self._assign_identity(call, route)
        seconds = route.timeout_seconds
        if headers.deadline:
            seconds = min(seconds, headers.deadline)
        started = self._runtime.clock.monotonic()
        answer = self._forwarder.forward(call, started + seconds)
        reply = Reply(request, close=self.draining)
        try:
            async with contextlib.aclosing(answer):
                response = await reply.write(
                    answer, on_first=lambda: self._record_first_token(started)
                )
        except CallError as error:
            self._runtime.metrics.count("refusals", code=error.code, route=route.name)
            raise
        duration = self._runtime.clock.monotonic() - started
        self._runtime.metrics.record("call_duration", duration, route=route.name)
        self._runtime.metrics.count("calls", route=route.name, status=response.status)
        return response

    def _record_first_token(self, started):
        first = self._runtime.clock.monotonic() - started
        self._runtime.metrics.record("first_token", first)

    def _assign_identity(self, call, route):
        """Assign what makes a call safe to resend to a new owner.

        This is a program and an idempotency key.
        """
        needs_journal = not route.repeatable or call.idempotency_key
        if not call.program and needs_journal:
            call.program = self._build_program_id(call)
            call.root = f"{call.customer}/{call.program}"
        if call.program and not call.idempotency_key:
            call.idempotency_key = f"~{secrets.token_hex(12)}"

    def _build_program_id(self, call):
        """Return a program id for a call without one.

        Equal idempotency keys give equal ids, so that a retry reaches the
        owner of the original call.
        """
        if call.idempotency_key:
            return f"~key:{digest_text(call.idempotency_key)}"
        return f"~{secrets.token_hex(12)}"

    async def _inspect(self, request, *, history=False, end=False):
        principal = self._authenticate(request)
        program = request.match_info["program"]
        check_program_id(program)
        query = InspectProgram(
            customer=principal.customer,
            program=program,
            root=f"{principal.customer}/{program}",
            history=history,
            end=end,
        )
        deadline = self._runtime.clock.monotonic() + QUERY_TIMEOUT_SECONDS
        view = await self._forwarder.query(query, deadline)
        return web.Response(text=view.body, content_type="application/json")


def _accept_pending(listener):
    """Accept and return the pending connections of a listening socket."""
    with socket.socket(fileno=os.dup(listener.fileno())) as duplicate:
        duplicate.setblocking(False)
        connections = []
        while True:
            try:
                connection, _ = duplicate.accept()
            except BlockingIOError:
                return connections
            connection.setblocking(False)
            connections.append(connection)
