"""Budgets: what a call may cost, checked before it is reserved.

Tokens are counted at their worst case before dispatch and settled afterwards,
so the sum never passes the budget, also when sub-agents run in parallel.
"""

from sapphireyard.exceptions import CallError

DEFAULT_ANSWER_TOKENS = 1024
"""Longest answer in tokens when the caller names none."""

MESSAGE_OVERHEAD_TOKENS = 16
"""Most tokens by which a chat template frames one message."""

SMALLEST_ANSWER_TOKENS = 1


def bound_prompt_tokens(program, messages_bytes, message_count):
    """Return the most tokens a prompt can have.

    A token stands for at least one byte; the history is counted exactly by
    the engine's last answer.
    """
    overhead = MESSAGE_OVERHEAD_TOKENS * (message_count + 1)
    return program.context_tokens + messages_bytes + overhead


def fit_answer_tokens(payers, prompt_tokens, wanted):
    """Return the longest answer that fits every payer's budget.

    Parameters
    ----------
    payers : iterable of Program
        The program and its root.
    prompt_tokens : int
        Worst case of the prompt.
    wanted : int or None
        The caller's limit, which is kept; None lets the budget shorten it.

    Raises
    ------
    CallError
        ``budget_exceeded`` when the call does not fit.
    """
    answer = DEFAULT_ANSWER_TOKENS if wanted is None else wanted
    least = SMALLEST_ANSWER_TOKENS if wanted is None else wanted
    for payer in payers:
        if not payer.budget_tokens:
            continue
        left = payer.budget_tokens - payer.spent_tokens - prompt_tokens
        if left < least:
            raise CallError(
                "budget_exceeded",
                f"{payer.budget_tokens - payer.spent_tokens} of "
                f"{payer.budget_tokens} tokens are left, the call may need "
                f"{prompt_tokens + least}",
            )
        answer = min(answer, left)
    return answer


def check_calls(payers):
    """Refuse a call when a payer's number of calls is used up.

    Raises
    ------
    CallError
        ``budget_exceeded``.
    """
    for payer in payers:
        if payer.budget_calls and payer.spent_calls >= payer.budget_calls:
            raise CallError(
                "budget_exceeded", f"all {payer.budget_calls} calls are used"
            )


def bound_seconds(payers, seconds, now):
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
    for payer in payers:
        left = payer.seconds_left(now)
        if left is None:
            continue
        if left <= 0:
            raise CallError(
                "budget_exceeded", f"all {payer.budget_seconds:g} seconds are used"
            )
        seconds = min(seconds, left)
    return seconds
