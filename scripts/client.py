"""A client that runs programs and retries their calls, for demo, bench and soak."""

import asyncio
import json
import time
from dataclasses import dataclass, field

import aiohttp

MIN_PAUSE_SECONDS = 0.1
"""Shortest pause before a retry, used when the answer names none."""

MAX_PAUSE_SECONDS = 2.0


class CallFailed(Exception):
    """A final error answer.

    Parameters
    ----------
    problem : dict
        The problem document.
    """

    def __init__(self, problem):
        super().__init__(f"{problem.get('code')}: {problem.get('detail')}")
        self.problem = problem
        self.code = problem.get("code", "")


@dataclass
class Reply:
    """A complete answer; both times are counted from the first attempt."""

    status: int
    body: dict
    sequence: int
    first_seconds: float
    total_seconds: float
    retries: int = 0


@dataclass
class ProgramClient:
    """Runs the calls of one program in order; retries each until its answer is final.

    Parameters
    ----------
    session : aiohttp.ClientSession
        The HTTP session.
    addresses : list of str
        IP:PORT of the entry hosts to use in turn.
    key : str
        The customer's key.
    program : str
        Id of the program.
    parent : str, optional
        Id of the parent program.
    budget : str, optional
        Budget of the program, sent with its first call.
    retry_timeout_seconds : float
        Time after which a call that keeps failing is given up.

    Attributes
    ----------
    sequence : int
        Sequence number of the latest call.
    messages : list of dict
        History of the program: messages sent and answers to them.
    problems : list of dict
        Problem documents of all failed attempts, also of those retried.
    """

    session: aiohttp.ClientSession
    addresses: list
    key: str
    program: str
    parent: str = ""
    budget: str = ""
    retry_timeout_seconds: float = 60.0
    sequence: int = 0
    messages: list = field(default_factory=list)
    problems: list = field(default_factory=list)
    _rotation: int = 0

    async def chat(self, model, text, *, max_tokens=16, stream=True):
        """Send one turn; return the `Reply`."""
        message = {"role": "user", "content": text}
        body = {
            "model": model,
            "messages": [message],
            "max_tokens": max_tokens,
            "stream": stream,
        }
        reply = await self._call("/v1/chat/completions", body, stream=stream)
        answer = reply.body["choices"][0]["message"]
        self.messages += [message, answer]
        return reply

    async def call(self, route, body):
        """Call a service route; return the `Reply`."""
        return await self._call(f"/v1/call/{route}", body, stream=False)

    async def inspect(self, path=""):
        """Return the JSON of ``/v1/programs/ID`` and `path` below it."""
        return await self._request("GET", f"/v1/programs/{self.program}{path}")

    async def end(self):
        """End the program."""
        return await self._request("DELETE", f"/v1/programs/{self.program}")

    async def _request(self, method, path):
        deadline = time.monotonic() + self.retry_timeout_seconds
        while True:
            url = f"http://{self._choose_address()}{path}"
            headers = {"Authorization": f"Bearer {self.key}"}
            problem = {"code": "unreachable", "detail": url}
            try:
                async with self.session.request(
                    method, url, headers=headers
                ) as response:
                    body = await response.json(content_type=None)
                    if response.status == 200:
                        return body
                    problem = body
            except (aiohttp.ClientError, ConnectionError, TimeoutError):
                pass
            if _is_final(problem) or time.monotonic() > deadline:
                raise CallFailed(problem)
            await asyncio.sleep(_choose_pause(problem))

    async def _call(self, path, body, *, stream):
        self.sequence += 1
        started = time.monotonic()
        retries = 0
        while True:
            problem = await self._send_once(path, body, stream, started)
            if isinstance(problem, Reply):
                problem.retries = retries
                return problem
            self.problems.append(problem)
            if _is_final(problem):
                raise CallFailed(problem)
            if time.monotonic() - started > self.retry_timeout_seconds:
                raise CallFailed(problem)
            retries += 1
            await asyncio.sleep(_choose_pause(problem))

    async def _send_once(self, path, body, stream, started):
        headers = {
            "Authorization": f"Bearer {self.key}",
            "Sapphireyard-Program": self.program,
            "Sapphireyard-Sequence": str(self.sequence),
        }
        if self.parent:
            headers["Sapphireyard-Parent"] = self.parent
        if self.budget and self.sequence == 1:
            headers["Sapphireyard-Budget"] = self.budget
        url = f"http://{self._choose_address()}{path}"
        try:
            async with self.session.post(url, json=body, headers=headers) as response:
                first = time.monotonic() - started
                if response.content_type == "text/event-stream":
                    answer, first = await self._read_stream(response, started)
                else:
                    answer = await response.json(content_type=None)
                if response.status != 200 or "code" in answer:
                    return answer
                total = time.monotonic() - started
                return Reply(200, answer, self.sequence, first, total)
        except aiohttp.ClientConnectorError as error:
            return {"code": "unreachable", "detail": str(error)}
        except (aiohttp.ClientError, ConnectionError, ValueError) as error:
            return {"code": "cut", "detail": repr(error)}

    async def _read_stream(self, response, started):
        first = 0.0
        content = []
        finish_reason = None
        usage = None
        event = ""
        async for raw in response.content:
            line = raw.decode().strip()
            if line.startswith("event:"):
                event = line[6:].strip()
            if not line.startswith("data:"):
                continue
            data = line[5:].strip()
            first = first or time.monotonic() - started
            if data == "[DONE]":
                return _build_answer(content, finish_reason, usage), first
            chunk = json.loads(data)
            if event == "error":
                return chunk["error"], first
            usage = chunk.get("usage") or usage
            for choice in chunk["choices"]:
                content.append(choice["delta"].get("content") or "")
                finish_reason = choice["finish_reason"] or finish_reason
        return {"code": "cut", "detail": "the stream ended early"}, first

    def _choose_address(self):
        self._rotation += 1
        return self.addresses[self._rotation % len(self.addresses)]


def _build_answer(content, finish_reason, usage):
    message = {"role": "assistant", "content": "".join(content)}
    choice = {"index": 0, "message": message, "finish_reason": finish_reason}
    return {"choices": [choice], "usage": usage}


def _is_final(problem):
    """Return whether retrying the same request cannot succeed."""
    if problem.get("code") in ("unreachable", "cut"):
        return False
    if "retry_after_seconds" in problem:
        return False
    return problem.get("code") not in ("upstream_failed", "deadline_exceeded")


def _choose_pause(problem):
    pause = problem.get("retry_after_seconds", MIN_PAUSE_SECONDS)
    return min(max(pause, MIN_PAUSE_SECONDS), MAX_PAUSE_SECONDS)
