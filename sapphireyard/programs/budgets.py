"""Budgets: what a call may cost, checked before it is reserved.

Tokens are counted at their worst case before dispatch and settled afterwards,
so the sum never passes the budget, also when sub-agents run in parallel.
"""

from sapphireyard.exceptions import CallError

DEFAULT_ANSWER_TOKENS = 1024
"""Longest answer in tokens when the caller names none."""

MESSAGE_OVERHEAD_TOKENS = 16
"""Most tokens by which a chat template frames one message."""

MIN_ANSWER_TOKENS = 1


def bound_prompt_tokens(program, messages_bytes, message_count):
    """Return the most tokens a prompt can have.

    A token stands for at least one byte; the history is counted exactly by
    the engine's last answer.
    """
    overhead = MESSAGE_OVERHEAD_TOKENS * (message_count + 1)
    return program.context_tokens + messages_bytes + overhead


def fit_answer_tokens(charged_programs, prompt_tokens, requested):
    """Return the longest answer that fits every payer's budget.

    Parameters
    ----------
    charged_programs : iterable of Program
        The program and its root.
    prompt_tokens : int
        Worst case of the prompt.
    requested : int or None
        The caller's limit, which is kept; None lets the budget shorten it.

    Raises
    ------
    CallError
        ``budget_exceeded`` when the call does not fit.
    """
    answer = DEFAULT_ANSWER_TOKENS if requested is None else requested
    minimum = MIN_ANSWER_TOKENS if requested is None else requested
    for program in charged_programs:
        if not program.budget_tokens:
            continue
        remaining = program.budget_tokens - program.spent_tokens - prompt_tokens
        if remaining < minimum:
            raise CallError(
                "budget_exceeded",
                f"{program.budget_tokens - program.spent_tokens} of "
                f"{program.budget_tokens} tokens are left, the call may need "
                f"{prompt_tokens + minimum}",
            )
        answer = min(answer, remaining)
    return answer


def check_calls(charged_programs):
    """Refuse a call when a payer's number of calls is used up.

    Raises
    ------
    CallError
        ``budget_exceeded``.
    """
    for program in charged_programs:
        if program.budget_calls and program.spent_calls >= program.budget_calls:
            raise CallError(
                "budget_exceeded", f"all {program.budget_calls} calls are used"
            )


def bound_seconds(charged_programs, seconds, now):
    """Return the seconds a call may take, at most `seconds`.

    Parameters
    ----------
    now : float
        Wall-clock seconds.

    Raises
    ------
    CallError
        ``budget_exceeded`` when no time is left.
    """
    for program in charged_programs:
        remaining = program.seconds_left(now)
        if remaining is None:
            continue
        if remaining <= 0:
            raise CallError(
                "budget_exceeded", f"all {program.budget_seconds:g} seconds are used"
            )
        seconds = min(seconds, remaining)
    return seconds
