"""Writes the messages of an answer to a caller, whole or as a stream."""

import asyncio

from aiohttp import web

from sapphireyard.callers._problems import describe_problem
from sapphireyard.exceptions import EXECUTED_UNKNOWN, CallError
from sapphireyard.streams.generated_messages import AnswerChunk, AnswerEnd, AnswerStart
from sapphireyard.upstreams.completions import dump_json

WRITE_TIMEOUT_SECONDS = 30.0
"""Longest time a caller may leave a part of an answer unread."""

KEY_WITHDRAWN = "key_withdrawn"
"""Message of the cancellation of a request whose key was withdrawn."""


def build_withdrawn_error():
    """Return the error for a request whose key was withdrawn while it ran."""
    return CallError(KEY_WITHDRAWN, "the key was withdrawn", executed=EXECUTED_UNKNOWN)


class Reply:
    """Answers one HTTP request.

    Parameters
    ----------
    request : aiohttp.web.Request
        The caller's request.
    close : bool, optional
        Whether the connection ends with this answer.
    """

    def __init__(self, request, *, close=False):
        self._request = request
        self._close = close

    async def write(self, answer, *, on_first):
        """Return the response for an answer, streamed as far as it is.

        Parameters
        ----------
        answer : async iterator
            Messages from `AnswerStart` to `AnswerEnd`.
        on_first : callable
            Called when a stream begins.

        Raises
        ------
        CallError
            The call failed before its answer began.
        ConnectionError
            The caller went away or does not read.
        """
        start = await anext(answer)
        assert isinstance(start, AnswerStart), f"{start} is no start of an answer"
        headers = {}
        if start.program:
            headers["Sapphireyard-Program"] = start.program
            headers["Sapphireyard-Sequence"] = str(start.sequence)
        if start.streamed:
            on_first()
            return await self._write_stream(answer, headers)
        end = await anext(answer)
        assert isinstance(end, AnswerEnd), f"{end} is no end of an answer"
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
            raise ConnectionResetError("the caller does not read") from error
