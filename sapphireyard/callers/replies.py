"""Writes answers to callers, as one response or as an event stream."""

import asyncio

from aiohttp import web

from sapphireyard.callers._problems import describe_problem
from sapphireyard.exceptions import EXECUTED_UNKNOWN, CallError
from sapphireyard.streams.generated_messages import AnswerChunk, AnswerEnd, AnswerStart
from sapphireyard.upstreams.completions import dump_json

WRITE_TIMEOUT_SECONDS = 30.0
"""Timeout for writing one part of an answer to a caller."""

KEY_WITHDRAWN = "key_withdrawn"
"""Cancellation message of a request whose key was withdrawn."""


def build_withdrawn_error():
    """Return the error for a request whose key was withdrawn during it."""
    return CallError(KEY_WITHDRAWN, "the key was withdrawn", executed=EXECUTED_UNKNOWN)


class Reply:
    """Response to one HTTP request.

    Parameters
    ----------
    request : aiohttp.web.Request
        The caller's request.
    close : bool, optional
        Whether to close the connection after a streamed response.
    """

    def __init__(self, request, *, close=False):
        self._request = request
        self._close = close

    async def write(self, answer, *, on_first):
        """Write an answer and return its response.

        Parameters
        ----------
        answer : async iterator
            Messages from `AnswerStart` to `AnswerEnd`.
        on_first : callable
            Called when the first message of a streamed answer arrives.

        Raises
        ------
        CallError
            The call failed before its answer began.
        ConnectionError
            The caller disconnected or stopped reading.
        """
        start = await anext(answer)
        assert isinstance(start, AnswerStart), f"expected AnswerStart, got {start}"
        headers = {}
        if start.program:
            headers["Sapphireyard-Program"] = start.program
            headers["Sapphireyard-Sequence"] = str(start.sequence)
        if start.streamed:
            on_first()
            return await self._write_stream(answer, headers)
        end = await anext(answer)
        assert isinstance(end, AnswerEnd), f"expected AnswerEnd, got {end}"
        return web.Response(
            status=start.status,
            text=end.body,
            content_type="application/json",
            headers=headers,
        )

    async def _write_stream(self, answer, headers):
        response = web.StreamResponse(headers={"Cache-Control": "no-store", **headers})
        response.content_type = "text/event-stream"
        if self._close:
            response.force_close()
        await response.prepare(self._request)
        try:
            async for message in answer:
                if isinstance(message, AnswerChunk):
                    await self._write(response, f"data: {message.data}\n\n")
                elif isinstance(message, AnswerEnd):
                    await self._write(response, "data: [DONE]\n\n")
        except CallError as error:
            await self._write_error(response, error)
        except asyncio.CancelledError as error:
            if error.args != (KEY_WITHDRAWN,):
                raise
            asyncio.current_task().uncancel()
            await self._write_error(response, build_withdrawn_error())
        await response.write_eof()
        return response

    async def _write_error(self, response, error):
        text = dump_json({"error": describe_problem(error)})
        await self._write(response, f"event: error\ndata: {text}\n\n")

    async def _write(self, response, text):
        try:
            async with asyncio.timeout(WRITE_TIMEOUT_SECONDS):
                await response.write(text.encode())
        except TimeoutError as error:
            raise ConnectionResetError(
                f"the caller did not read the response for {WRITE_TIMEOUT_SECONDS:g} s"
            ) from error
