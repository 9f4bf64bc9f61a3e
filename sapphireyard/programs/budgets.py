"""Budget checks, made before a call is reserved.

A call reserves its worst case in tokens before dispatch and is settled at its
actual usage afterwards, so the total never exceeds the budget, even when
sub-agents run in parallel.
"""

from sapphireyard.exceptions import CallError

DEFAULT_ANSWER_TOKENS = 1024
"""Answer limit when the caller sets no ``max_tokens``."""

MESSAGE_OVERHEAD_TOKENS = 16
"""Upper bound of the tokens that a chat template adds to one message."""

MIN_ANSWER_TOKENS = 1


def bound_prompt_tokens(program, messages_bytes, message_count):
    """Return an upper bound of the prompt's length in tokens.

    A token encodes at least one byte, so new messages count one token per byte.
    The history counts as the engine reported it with its last answer.
    """
    overhead = MESSAGE_OVERHEAD_TOKENS * (message_count + 1)
    return program.context_tokens + messages_bytes + overhead


def fit_answer_tokens(charged_programs, prompt_tokens, requested):
    """Return the longest answer, in tokens, that fits all charged budgets.

    Parameters
    ----------
    charged_programs : iterable of Program
        The program and its root, whose budgets the call draws on.
    prompt_tokens : int
        Upper bound of the prompt's length.
    requested : int or None
        The caller's limit, which is never shortened; with None the budget may
        shorten the answer.

    Raises
    ------
    CallError
        ``budget_exceeded`` when the call does not fit a budget.
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
    """Refuse a call when a charged program has used up its number of calls.

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
    """Return the seconds that a call may take: `seconds`, capped by the budgets.

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
