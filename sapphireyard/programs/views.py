"""What callers and operators see of a program, as plain data."""

import json


def describe(program):
    """Return the public state of a program, as a JSON object."""
    return {
        "program": program.key.split("/", 1)[1],
        "root": program.root.split("/", 1)[1],
        "state": "ended" if program.ended else "active",
        "reason": program.ended,
        "next_sequence": program.next_sequence,
        "running": program.running is not None,
        "unknown_outcomes": program.unknown_sequences(),
        "budget": {
            "tokens": program.budget_tokens,
            "calls": program.budget_calls,
            "seconds": program.budget_seconds,
        },
        "used": {"tokens": program.spent_tokens, "calls": program.spent_calls},
    }


def describe_history(program):
    """Return the calls of a program with requests and answers."""
    return {
        "program": program.key.split("/", 1)[1],
        "calls": [
            {
                "sequence": call.sequence,
                "route": call.route,
                "state": call.state,
                "status": call.status,
                "request": json.loads(call.request) if call.request else None,
                "answer": json.loads(call.answer) if call.answer else None,
            }
            for call in program.calls.values()
        ],
    }
