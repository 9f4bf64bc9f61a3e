"""Deterministic answers of the model engine stand-in, derived from the messages."""

import hashlib
import json
import time

DEFAULT_MAX_TOKENS = 16

PROGRAM_HEADER = "Sapphireyard-Program-Digest"


def count_tokens(message):
    """Return the token count of a message: one per word and one for its role."""
    return 1 + len(str(message.get("content") or "").split())


def digest_messages(messages):
    """Return the digest of a list of messages in hexadecimal."""
    return digest_prefixes(messages)[-1]


def digest_prefixes(messages):
    """Return the digest of each prefix of `messages`, shortest first.

    The digest of the empty prefix is an empty string.
    """
    digests = [""]
    for message in messages:
        text = json.dumps(
            [digests[-1], message.get("role"), message.get("content")],
            ensure_ascii=False,
        )
        digests.append(hashlib.blake2b(text.encode(), digest_size=16).hexdigest())
    return digests


def answer_tokens(messages, max_tokens=DEFAULT_MAX_TOKENS):
    """Return the tokens with which an engine answers `messages`.

    Their number is between half of `max_tokens` and `max_tokens`. Each token
    contains the digest of the messages and its own index, so that reordered,
    truncated or swapped answers are detected.
    """
    digest = digest_messages(messages)
    minimum = (max_tokens + 1) // 2
    count = minimum + int(digest, 16) % (max_tokens - minimum + 1)
    return [f"{digest[:8]}.{index}" for index in range(count)]


def answer_text(messages, max_tokens=DEFAULT_MAX_TOKENS):
    """Return the full text with which an engine answers `messages`."""
    return " ".join(answer_tokens(messages, max_tokens))


class EngineAnswer:
    """The answer to one request, streamed or as a single body."""

    def __init__(self, request, body, messages):
        self.request = request
        self.request_id = ""
        self.messages = messages
        self.model = body.get("model", "")
        self.streamed = bool(body.get("stream"))
        options = body.get("stream_options") or {}
        self.include_usage = bool(options.get("include_usage"))
        self.max_tokens = int(body.get("max_tokens") or DEFAULT_MAX_TOKENS)
        self.tokens = answer_tokens(messages, self.max_tokens)
        self.prompt_tokens = sum(map(count_tokens, messages))
        self.program = request.headers.get(PROGRAM_HEADER) or digest_messages(messages)

    @property
    def finish_reason(self):
        """str: Reason why generation ended."""
        return "length" if len(self.tokens) >= self.max_tokens else "stop"

    def encode_token(self, index):
        """Return the server-sent event of one token."""
        text = self.tokens[index] if index == 0 else " " + self.tokens[index]
        return self._encode_chunk({"delta": {"content": text}, "finish_reason": None})

    def encode_stream_end(self, finished):
        """Return the server-sent events after the last token."""
        end = {"delta": {}, "finish_reason": self.finish_reason}
        events = [self._encode_chunk(end)]
        if self.include_usage:
            events.append(self._encode_chunk(None, usage=self._usage(finished)))
        return [*events, b"data: [DONE]\n\n"]

    def encode_completion(self, finished):
        """Return the response body of an answer that is not streamed."""
        message = {"role": "assistant", "content": " ".join(self.tokens)}
        choice = {"index": 0, "message": message, "finish_reason": self.finish_reason}
        return {
            **self._build_common_fields("chat.completion"),
            "choices": [choice],
            "usage": self._usage(finished),
        }

    def _build_common_fields(self, kind):
        head = {"id": self.request_id, "object": kind, "created": int(time.time())}
        return {**head, "model": self.model}

    def _encode_chunk(self, choice, **extra):
        choices = [] if choice is None else [{"index": 0, **choice}]
        chunk = {
            **self._build_common_fields("chat.completion.chunk"),
            "choices": choices,
            **extra,
        }
        return b"data: " + json.dumps(chunk).encode() + b"\n\n"

    def _usage(self, finished):
        return {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": len(self.tokens),
            "total_tokens": self.prompt_tokens + len(self.tokens),
            "prompt_tokens_details": {"cached_tokens": finished.cached_tokens},
        }
