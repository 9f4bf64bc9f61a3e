"""Parses and validates the headers and bodies of callers' requests."""

import json
import re

from pydantic import ValidationError

from sapphireyard.callers.generated_api import CallHeaders, ChatBody
from sapphireyard.exceptions import CallError, Finding

HEADER_PREFIX = "Sapphireyard-"
PROGRAM_ID_PATTERN = re.compile(r"[A-Za-z0-9._:~-]{1,128}")
BUDGET_FIELDS = ("tokens", "calls", "seconds")


def parse_headers(headers):
    """Return the validated `CallHeaders` of a request.

    Raises
    ------
    CallError
        ``invalid_request`` with all findings.
    """
    findings = []
    values = {
        "program": headers.get(HEADER_PREFIX + "Program", ""),
        "parent": headers.get(HEADER_PREFIX + "Parent", ""),
        "idempotency_key": headers.get("Idempotency-Key", ""),
    }
    for name in ("sequence", "deadline"):
        text = headers.get(HEADER_PREFIX + name.capitalize())
        if text is not None:
            values[name] = text
    budget = headers.get(HEADER_PREFIX + "Budget")
    if budget is not None:
        values |= _parse_budget(budget, findings)
    try:
        checked = CallHeaders(**values)
    except ValidationError as error:
        findings += [
            Finding(f"header {_get_header_name(item['loc'][0])}", item["msg"])
            for item in error.errors()
        ]
    if findings:
        raise _build_invalid_request(findings)
    if checked.parent and not checked.program:
        place = f"header {HEADER_PREFIX}Parent"
        raise _build_invalid_request(
            [Finding(place, "requires a Sapphireyard-Program header")]
        )
    if checked.sequence and not checked.program:
        place = f"header {HEADER_PREFIX}Sequence"
        raise _build_invalid_request(
            [Finding(place, "requires a Sapphireyard-Program header")]
        )
    return checked


def _get_header_name(field):
    if field == "idempotency_key":
        return "Idempotency-Key"
    if field.startswith("budget_"):
        return f"{HEADER_PREFIX}Budget"
    return HEADER_PREFIX + field.capitalize()


def _parse_budget(text, findings):
    values = {}
    for item in text.split(","):
        name, separator, amount = item.strip().partition("=")
        if not separator or name not in BUDGET_FIELDS or f"budget_{name}" in values:
            finding = f"{item.strip()!r} is not one of tokens=N, calls=N, seconds=N"
            findings.append(Finding(f"header {HEADER_PREFIX}Budget", finding))
            continue
        values[f"budget_{name}"] = amount
    return values


def parse_json_object(data):
    """Return the JSON object in `data`.

    Raises
    ------
    CallError
        ``invalid_request`` when `data` is not a JSON object.
    """
    try:
        body = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise _build_invalid_request(
            [Finding("body", f"is not JSON: {error}")]
        ) from error
    if not isinstance(body, dict):
        raise _build_invalid_request([Finding("body", "is not a JSON object")])
    return body


def check_chat_body(body):
    """Validate the body of a chat completion request.

    Raises
    ------
    CallError
        ``invalid_request`` with all findings.
    """
    try:
        ChatBody.model_validate(body, strict=True)
    except ValidationError as error:
        findings = [
            Finding("body." + ".".join(map(str, item["loc"])), item["msg"])
            for item in error.errors()
        ]
        raise _build_invalid_request(findings) from error
    if body.get("n", 1) != 1:
        raise _build_invalid_request(
            [Finding("body.n", "only one choice is supported")]
        )


def check_program_id(program):
    """Validate the program id of a request's path.

    Raises
    ------
    CallError
        ``invalid_request`` when it is not a valid id.
    """
    if not PROGRAM_ID_PATTERN.fullmatch(program):
        raise _build_invalid_request([Finding("program", "is not a valid program id")])


def _build_invalid_request(findings):
    return CallError(
        "invalid_request", f"errors in the request: {len(findings)}", findings=findings
    )
