"""The answers of the model engine stand-in, which follow from the messages."""

import hashlib
import json

DEFAULT_MAX_TOKENS = 16


def count_tokens(message):
    """Return the tokens of a message: one for each word and one for its role."""
    return 1 + len(str(message.get("content") or "").split())


def digest_messages(messages):
    """Return the hex digest of a list of messages."""
    return chain_digests(messages)[-1]


def chain_digests(messages):
    """Return the digests of each prefix of `messages`, the empty one first."""
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

    There are between half of `max_tokens` and all of them. Each token names
    the digest of the messages and its own place, so that a mixed, cut or
    crossed answer shows.
    """
    digest = digest_messages(messages)
    least = (max_tokens + 1) // 2
    count = least + int(digest, 16) % (max_tokens - least + 1)
    return [f"{digest[:8]}.{index}" for index in range(count)]


def answer_text(messages, max_tokens=DEFAULT_MAX_TOKENS):
    """Return the whole text with which an engine answers `messages`."""
    return " ".join(answer_tokens(messages, max_tokens))
