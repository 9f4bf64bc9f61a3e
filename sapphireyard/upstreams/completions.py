"""Chat completions in the OpenAI format: digests, prompts, streamed answers."""

import json
from dataclasses import dataclass, field
from hashlib import blake2b

DIGEST_BYTES = 16
TRANSPORT_FIELDS = ("stream", "stream_options")
"""Fields that select how an answer is delivered; not part of the content."""


def dump_json(value):
    """Return the compact JSON text of `value`."""
    return json.dumps(value, separators=(",", ":"), ensure_ascii=False)


def digest_content(route, body):
    """Return the digest of a call's content, as hexadecimal text.

    Parameters
    ----------
    route : str
        Name of the route.
    body : dict
        Parsed JSON body.
    """
    content = {key: body[key] for key in body if key not in TRANSPORT_FIELDS}
    text = json.dumps(content, sort_keys=True, separators=(",", ":"))
    return digest_text(f"{route}\n{text}")


def digest_text(text):
    """Return the digest of `text` as hexadecimal text."""
    return blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()


def digest_program(key):
    """Return the opaque identifier by which upstreams know a program."""
    return digest_text(key)


def render_turn(call):
    """Return a turn's messages as a JSON array without its brackets.

    The text is built once and kept with the call, so that a long history is
    not parsed again for each new turn.
    """
    if not call.turn_text:
        message = json.loads(call.answer)["choices"][0]["message"]
        messages = [*json.loads(call.request)["messages"], message]
        call.turn_text = dump_json(messages)[1:-1]
    return call.turn_text


def build_prompt(program, body, answer_tokens):
    """Return the text of the request body for a model engine.

    Parameters
    ----------
    program : Program
        The program, whose completed turns precede the new messages.
    body : dict
        The caller's body with the new messages.
    answer_tokens : int
        Longest answer in tokens.
    """
    turns = [render_turn(call) for call in program.calls.values() if call.is_model_turn]
    turns.append(dump_json(body["messages"])[1:-1])
    rest = {key: body[key] for key in body if key != "messages"} | {
        "max_tokens": answer_tokens,
        "stream": True,
        "stream_options": {"include_usage": True},
    }
    return f'{{"messages":[{",".join(turns)}],{dump_json(rest)[1:]}'


@dataclass
class _ToolCall:
    id: str = ""
    type: str = "function"
    name: str = ""
    arguments: str = ""

    def add(self, delta):
        function = delta.get("function") or {}
        self.id = delta.get("id") or self.id
        self.type = delta.get("type") or self.type
        self.name += function.get("name") or ""
        self.arguments += function.get("arguments") or ""

    def as_message(self):
        function = {"name": self.name, "arguments": self.arguments}
        return {"id": self.id, "type": self.type, "function": function}


@dataclass
class CompletionAssembler:
    """Assembles an answer from the chunks of a stream.

    Feed each chunk to `add`; `build` returns the answer once `finished`.
    """

    id: str = ""
    model: str = ""
    created: int = 0
    role: str = "assistant"
    finish_reason: str | None = None
    usage: dict | None = None
    _content: list = field(default_factory=list)
    _tool_calls: dict = field(default_factory=dict)

    @property
    def finished(self):
        """bool: Whether the engine has sent a finish reason."""
        return self.finish_reason is not None

    def add(self, chunk):
        """Add one parsed chunk."""
        self.id = chunk.get("id") or self.id
        self.model = chunk.get("model") or self.model
        self.created = chunk.get("created") or self.created
        self.usage = chunk.get("usage") or self.usage
        for choice in chunk.get("choices") or ():
            self._add_delta(choice.get("delta") or {})
            self.finish_reason = choice.get("finish_reason") or self.finish_reason

    def _add_delta(self, delta):
        self.role = delta.get("role") or self.role
        if delta.get("content"):
            self._content.append(delta["content"])
        for tool_delta in delta.get("tool_calls") or ():
            index = tool_delta.get("index", 0)
            self._tool_calls.setdefault(index, _ToolCall()).add(tool_delta)

    def build(self):
        """Return the answer as a chat completion."""
        message = {"role": self.role, "content": "".join(self._content)}
        if self._tool_calls:
            ordered = sorted(self._tool_calls.items())
            message["tool_calls"] = [call.as_message() for _, call in ordered]
        choice = {"index": 0, "message": message, "finish_reason": self.finish_reason}
        return {
            "id": self.id,
            "object": "chat.completion",
            "created": self.created,
            "model": self.model,
            "choices": [choice],
            "usage": self.usage,
        }


def count_tokens(answer, *, default):
    """Return the tokens an answer used, or `default` if it doesn't report them."""
    usage = answer.get("usage") or {}
    total = usage.get("total_tokens")
    if not isinstance(total, int) or total < 0:
        return default
    return total


def build_chunks(answer):
    """Return the chunks that stream a stored answer."""
    choice = answer["choices"][0]
    message = dict(choice["message"])
    for index, tool_call in enumerate(message.get("tool_calls", ())):
        message["tool_calls"][index] = {"index": index, **tool_call}
    head = {key: answer[key] for key in ("id", "created", "model") if key in answer} | {
        "object": "chat.completion.chunk"
    }
    end = {"index": 0, "delta": {}, "finish_reason": choice["finish_reason"]}
    return [
        {**head, "choices": [{"index": 0, "delta": message, "finish_reason": None}]},
        {**head, "choices": [end], "usage": answer.get("usage")},
    ]
