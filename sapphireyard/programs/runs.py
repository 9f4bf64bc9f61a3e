"""Calls in progress on their owner, followed by any number of callers."""

import asyncio

from sapphireyard.streams.generated_messages import AnswerChunk, AnswerEnd, AnswerStart


class Run:
    """One call in progress.

    Its executor adds chunks and ends it. The caller that sent it, and those
    that repeated it, each read the whole answer with `follow`.

    Parameters
    ----------
    program : str
        Id of the program, as the caller knows it.
    sequence : int
        Position of the call in the program.
    digest : str
        Digest of the content.
    key_digest : str
        Digest of the caller's API key.
    """

    def __init__(self, *, program, sequence, digest, key_digest):
        self.program = program
        self.sequence = sequence
        self.digest = digest
        self.key_digest = key_digest
        self.task = None
        self.execution = None
        self._chunks = []
        self._status = 0
        self._body = ""
        self._error = None
        self._ended = False
        self._changed = asyncio.Event()

    @property
    def ended(self):
        """bool: Whether the answer is final."""
        return self._ended

    @property
    def has_chunks(self):
        """bool: Whether part of the answer may have reached a caller."""
        return bool(self._chunks)

    def add_chunk(self, data):
        """Add the text of one streamed event."""
        self._chunks.append(data)
        self._notify_followers()

    def finish(self, status, body, last_chunks=()):
        """End with a complete answer, which must already be journalled."""
        if self._ended:
            return
        self._chunks.extend(last_chunks)
        self._status = status
        self._body = body
        self._ended = True
        self._notify_followers()

    def fail(self, error):
        """End with an error."""
        if self._ended:
            return
        self._error = error
        self._ended = True
        self._notify_followers()

    async def follow(self, *, stream):
        """Yield the messages of the answer, from the start.

        Raises
        ------
        CallError
            The error the call ended with.
        """
        if stream:
            async for message in self._follow_chunks():
                yield message
        while not self._ended:
            await self._changed.wait()
        if self._error is not None:
            raise self._error
        if not stream or not self._chunks:
            yield self._build_start(streamed=False)
            yield AnswerEnd(body=self._body)
            return
        yield AnswerEnd()

    async def _follow_chunks(self):
        sent = 0
        while True:
            if sent == 0 and self._chunks:
                yield self._build_start(streamed=True)
            while sent < len(self._chunks):
                sent += 1
                yield AnswerChunk(data=self._chunks[sent - 1])
            if self._ended:
                return
            await self._changed.wait()

    def _build_start(self, *, streamed):
        return AnswerStart(
            status=self._status or 200,
            program=self.program,
            sequence=self.sequence,
            streamed=streamed,
        )

    def _notify_followers(self):
        self._changed.set()
        self._changed = asyncio.Event()
