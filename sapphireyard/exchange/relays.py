"""Requests to upstreams that this host does not reach, through hosts that do.

Only the connection to the upstream is replaced. The host that got a request from its
caller checks, counts, schedules and answers it as ever; the other host, its relay,
sends it on and returns the upstream's answer. A relay uses its own links only, so that
a request takes one hop at most.
"""

import asyncio
import logging
from contextlib import AsyncExitStack, aclosing, asynccontextmanager
from dataclasses import replace

import mode

from sapphireyard.answers import BROKEN, LISTENING, REFUSED, SILENT, BodyEnd
from sapphireyard.exceptions import (
    EXECUTED_NO,
    CallError,
    PeerError,
    UpstreamFailed,
    UpstreamLeft,
)
from sapphireyard.exchange import generated_relays
from sapphireyard.exchange.calls import (
    Dispatch,
    ProgramCall,
    UpstreamAnswer,
    UpstreamSender,
)
from sapphireyard.exchange.generated_relays import (
    LinkQuery,
    LinkState,
    RelayedChunk,
    RelayedEnd,
    RelayedFailure,
    RelayedHead,
    RelayedHeader,
    RelayedRequest,
    RelayedTurn,
)
from sapphireyard.fleet.relays import rank_relays
from sapphireyard.history.chains import WINDOW_BYTES
from sapphireyard.tasks import lasting_task, start_task

logger = logging.getLogger(__name__)

ASKED_RELAYS = 2
"""Relays that are tried for one request, so that one may be lost. Where most of a
service is within reach, one: its other upstreams are tried next."""
MAX_RELAYED_BYTES = 4 * 1024 * 1024
"""Largest body that is relayed; half of the largest frame between hosts."""
PROBE_TIMEOUT_SECONDS = 0.3
"""Time without an answer after which a probe has failed. An upstream that pauses for
longer is passed over until it answers a later probe."""
TICK_SECONDS = 0.1
QUERY_SECONDS = 1.0
"""Longest wait for a host that is asked whether it reaches an upstream."""


class RelaySender(UpstreamSender, mode.Service):
    """Sends requests directly, or through another host if a link is down.

    Parameters
    ----------
    runtime : Runtime
        Provides pools, peers and clock.
    direct : DirectSender
        Sends over this host's own connections.

    Attributes
    ----------
    closing : Closing or None
        The last seconds of this host; None until it is to stop.
    open_requests : int
        Requests of other hosts that are not answered yet.
    """

    def __init__(self, runtime, direct):
        super().__init__()
        self._runtime = runtime
        self._direct = direct
        self.closing = None
        self.open_requests = 0
        runtime.peers.codec.register_module(generated_relays)
        runtime.peers.register_stream(RelayedRequest, self._serve_request)
        runtime.peers.register_stream(RelayedTurn, self._serve_turn)
        runtime.peers.register(LinkQuery, self._serve_query)

    @property
    def _links(self):
        return self._runtime.pools.links

    @asynccontextmanager
    async def send(self, dispatch):
        async with AsyncExitStack() as stack:
            yield await self._open(stack, dispatch)

    async def is_listening(self, upstream):
        reaction = None
        if not self._links.isolated:
            reaction = await self._direct.try_connect(
                upstream, timeout=PROBE_TIMEOUT_SECONDS
            )
            if reaction == LISTENING:
                return True
        answers = [
            await self._query(host, upstream)
            for host in self._rank_relays(upstream)[:ASKED_RELAYS]
        ]
        if True in answers:
            return True
        if False in answers or reaction == REFUSED:
            return False
        return None

    @lasting_task
    async def _probe_links(self):
        while not self.should_stop:
            for name in self._links.choose_probes(self._now()):
                upstream = self._runtime.pools.find(name)
                if upstream is not None:
                    start_task(self._probe(upstream), name="probe")
            await asyncio.sleep(TICK_SECONDS)

    async def _probe(self, upstream):
        tried_at = self._now()
        reaction = await self._direct.try_connect(
            upstream, timeout=PROBE_TIMEOUT_SECONDS
        )
        now = self._now()
        if reaction == LISTENING:
            self._links.note_connected(upstream.name, tried_at, now)
        else:
            self._links.note_failed(upstream.name, tried_at, now, reason=reaction)

    async def _open(self, stack, dispatch):
        """Return the `UpstreamAnswer`, whose context is entered on `stack`."""
        upstream = dispatch.upstream
        deadline = self._now() + dispatch.timeout
        failure = UpstreamFailed("no host reaches it", sent=False)
        if self._links.is_up(upstream.name):
            try:
                return await stack.enter_async_context(self._send_directly(dispatch))
            except UpstreamFailed as error:
                if error.sent:
                    raise
                failure = error
        if len(dispatch.body) > MAX_RELAYED_BYTES:
            raise failure
        scarce = self._links.isolated or self._runtime.pools.is_scarce(upstream.service)
        relays = self._rank_relays(upstream, regions=dispatch.regions)
        for host in relays[: ASKED_RELAYS if scarce else 1]:
            if dispatch.handover.abandoned:
                raise UpstreamFailed("its caller has left", sent=False)
            dispatch = replace(dispatch, timeout=max(0.0, deadline - self._now()))
            try:
                return await stack.enter_async_context(
                    self._send_through(host, dispatch)
                )
            except UpstreamFailed as error:
                if error.sent or isinstance(error, UpstreamLeft):
                    raise
                failure = error
        raise failure

    @asynccontextmanager
    async def _send_directly(self, dispatch):
        self._check_usable(dispatch.upstream)
        name = dispatch.upstream.name
        tried_at = self._now()
        self._links.note_pending(name, 1, tried_at)
        try:
            async with self._direct.send(dispatch) as answer:
                self._links.note_heard(name, self._now())
                answer.chunks = self._note_chunks(answer.chunks, name)
                yield answer
        except UpstreamFailed as error:
            if not error.sent:
                self._links.note_failed(name, tried_at, self._now(), reason=str(error))
            elif error.crashed:
                self._links.note_broken(name)
            raise
        finally:
            self._links.note_pending(name, -1, self._now())

    def _check_usable(self, upstream):
        reason = self._runtime.pools.explain_unusable(upstream)
        if reason:
            raise UpstreamLeft(reason)

    async def _note_chunks(self, chunks, upstream):
        async for chunk in chunks:
            self._links.note_heard(upstream, self._now())
            yield chunk

    @asynccontextmanager
    async def _send_through(self, host, dispatch):
        self._check_usable(dispatch.upstream)
        dispatch.handover.begun = True
        messages = self._runtime.peers.stream(
            host, _encode_request(dispatch), timeout=dispatch.timeout
        )
        async with aclosing(messages):
            head = await _receive(host, messages)
            end = BodyEnd(head.framing)
            yield UpstreamAnswer(
                status=head.status,
                headers=_decode_headers(head.headers),
                refused=head.refused,
                signed=head.signed,
                leaving=head.leaving,
                rate=head.rate,
                relay=host,
                chunks=_receive_chunks(host, messages, end),
                end=end,
            )

    async def _serve_turn(self, message, context):
        """Send another host's request after the history that it continues."""
        history = self._runtime.history.build_long(message.turn, message.size)
        answers = self._serve_request(message.request, context, history=history)
        async with aclosing(answers):
            async for answer in answers:
                yield answer

    async def _serve_request(self, message, context, *, history=None):
        """Send another host's request over this host's own link."""
        size = len(message.body)
        if history is not None:
            size += min(history.size, WINDOW_BYTES)
        upstream = self._runtime.pools.find(message.upstream)
        refusal = self._find_refusal(upstream, message, size)
        if refusal:
            self._log_relayed(message, context, refusal)
            yield RelayedFailure(refusal, sent=False)
            return
        outcome = "broken off"
        held = self._runtime.held
        hold = held.open(message.request_id, now=self._now())
        held.keep(hold, size)
        self.open_requests += 1
        try:
            dispatch = replace(_decode_request(message, upstream), history=history)
            async for answer in self._relay(dispatch):
                yield answer
            outcome = "served"
        except UpstreamFailed as error:
            outcome = str(error)
            yield RelayedFailure(outcome, sent=error.sent, crashed=error.crashed)
        finally:
            self.open_requests -= 1
            held.close(hold)
            self._log_relayed(message, context, outcome)

    def _find_refusal(self, upstream, message, size):
        """Return why a request for an upstream is not relayed, or an empty string.

        `size` is the number of bytes that it takes in memory.
        """
        now = self._now()
        if self.closing and not self.closing.takes(now + message.timeout, now):
            return "host is leaving"
        if upstream is None:
            return "upstream is not listed here"
        reason = self._runtime.pools.explain_unusable(upstream)
        if reason:
            return reason
        if not self._links.is_up(upstream.name):
            return "upstream is out of reach here too"
        if not self._runtime.held.admits(size):
            return "no memory for the request"
        return ""

    async def _relay(self, dispatch):
        """Yield the messages of an upstream's answer."""
        sent_at = self._now()
        async with self._send_directly(dispatch) as answer:
            pools = self._runtime.pools
            if answer.leaving:
                pools.note_leaving(dispatch.upstream)
            if answer.rate is not None:
                pools.rates.note_answer(
                    dispatch.upstream, answer.rate, sent_at=sent_at, now=self._now()
                )
            yield RelayedHead(
                answer.status,
                _encode_headers(answer.headers),
                refused=answer.refused,
                signed=answer.signed,
                leaving=answer.leaving,
                rate=answer.rate,
                framing=answer.end.framing,
            )
            async for chunk in answer.chunks:
                yield RelayedChunk(chunk)
            yield RelayedEnd(answer.end.outcome)

    async def _serve_query(self, message, context):
        upstream = self._runtime.pools.find(message.upstream)
        if upstream is None or self._links.isolated:
            return LinkState()
        reaction = await self._direct.try_connect(
            upstream, timeout=PROBE_TIMEOUT_SECONDS
        )
        return LinkState(None if reaction == SILENT else reaction == LISTENING)

    async def _query(self, host, upstream):
        """Return whether an upstream accepts a host's connections; None if unknown."""
        try:
            state = await self._runtime.peers.ask(
                host, LinkQuery(upstream.name), timeout=QUERY_SECONDS
            )
        except (PeerError, CallError) as error:
            logger.info("host %s did not tell about an upstream: %s", host, error)
            return None
        return state.listening

    def _rank_relays(self, upstream, *, regions=None):
        relays = self._runtime.pools.list_relays(upstream.name, self._now())
        if regions is not None:
            region_of = self._runtime.settings.regions
            relays = [r for r in relays if region_of.get(r.failure_domain) in regions]
        return rank_relays(relays, self._runtime.settings.failure_domain)

    def _log_relayed(self, message, context, outcome):
        self._runtime.metrics.count("relayed", outcome=_classify(outcome))
        logger.info(
            "request relayed",
            extra={
                "decision": "relay",
                "request_id": message.request_id,
                "from": context.host,
                "upstream": message.upstream,
                "outcome": outcome,
                "list_age": round(self._runtime.pools.list_age, 2),
            },
        )

    def _now(self):
        return self._runtime.clock.monotonic()


def _classify(outcome):
    return outcome if outcome == "served" else "failed"


def _encode_request(dispatch):
    """Return the message for a relay."""
    call = dispatch.call
    request = RelayedRequest(
        upstream=dispatch.upstream.name,
        request_id=call.request_id,
        method=call.method,
        target=call.target,
        customer=dispatch.customer,
        headers=_encode_headers(call.headers),
        body=dispatch.body,
        timeout=dispatch.timeout,
    )
    if dispatch.history is None:
        return request
    return RelayedTurn(request, dispatch.history.turn, dispatch.history.size)


def _decode_request(message, upstream):
    call = ProgramCall(
        request_id=message.request_id,
        method=message.method,
        target=message.target,
        host="",
        key="",
        arrived_at=0.0,
        headers=_decode_headers(message.headers),
    )
    return Dispatch(call, upstream, message.customer, message.body, message.timeout)


def _encode_headers(headers):
    return [RelayedHeader(name, value) for name, value in headers]


def _decode_headers(headers):
    return tuple((header.name, header.value) for header in headers)


async def _receive(host, messages):
    """Return the next message of a relay; raise `UpstreamFailed` if there is none."""
    try:
        message = await anext(messages)
    except StopAsyncIteration:
        raise UpstreamFailed(f"relay {host} ended early") from None
    except PeerError as error:
        sent = getattr(error, "sent", True)
        raise UpstreamFailed(f"relay {host}: {error}", sent=sent) from error
    except CallError as error:
        sent = error.executed != EXECUTED_NO
        raise UpstreamFailed(f"relay {host}: {error}", sent=sent) from error
    if isinstance(message, RelayedFailure):
        raise UpstreamFailed(
            f"relay {host}: {message.detail}",
            sent=message.sent,
            crashed=message.crashed,
        )
    return message


async def _receive_chunks(host, messages, end):
    """Yield the body of a relayed answer; raise `UpstreamFailed` if it ends early."""
    end.outcome = BROKEN
    while not isinstance(message := await _receive(host, messages), RelayedEnd):
        yield message.data
    end.outcome = message.outcome
