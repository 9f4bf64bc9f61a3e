"""An entry host with one mechanism switched off, to see the proofs fail.

``SAPPHIREYARD_BROKEN`` names the mechanism, a key of `BREAKS`.
"""

import os
import sys

from sapphireyard import entry
from sapphireyard.configuration.configuration import ConfigurationService
from sapphireyard.exceptions import JournalSealed
from sapphireyard.journal.journal import JournalService
from sapphireyard.ownership.ownership import OwnershipService
from sapphireyard.programs.calls import Admission, Decision
from sapphireyard.programs.executor import Executor
from sapphireyard.programs.reservations import Reservations
from sapphireyard.upstreams.quarantine import QuarantineService

VARIABLE = "SAPPHIREYARD_BROKEN"


def break_intent():
    """Send calls that may not be repeated without a durable reservation."""
    commit = Reservations.commit

    async def skip(self, execution, *args):
        if execution.route.repeatable:
            await commit(self, execution, *args)

    Reservations.commit = skip


def break_seal():
    """Take a seal under the next number for a stored segment, and stay."""
    store = JournalService._store

    async def ignore(self, name, value):
        try:
            await store(self, name, value)
        except JournalSealed:
            return

    JournalService._store = ignore
    OwnershipService.handle_seal = lambda self: None


def break_join():
    """Run a repeat beside the call that runs already."""
    from sapphireyard.programs import dispatcher

    admit = dispatcher.admit

    def run_again(program, **options):
        decision = admit(program, **options)
        if decision.admission is Admission.JOIN:
            program.running = None
            del program.calls[decision.sequence]
            return Decision(Admission.RUN, decision.sequence)
        return decision

    dispatcher.admit = run_again


def break_freshness():
    """Serve however old the configuration is."""
    ConfigurationService.check_fresh = lambda self: None


def break_drain():
    """Stop at once when asked to."""

    async def stop(self):
        return

    entry.EntryService.drain = stop


def break_quarantine():
    """Run what crashed upstreams again and again."""
    QuarantineService.check = lambda self, *args, **options: None


def break_budget():
    """Reserve nothing and limit nothing."""
    Executor._plan_tokens = lambda self, execution: (
        execution.body.get("max_tokens", 0),
        0,
    )


BREAKS = {
    "intent": break_intent,
    "seal": break_seal,
    "join": break_join,
    "freshness": break_freshness,
    "drain": break_drain,
    "quarantine": break_quarantine,
    "budget": break_budget,
}


if __name__ == "__main__":
    BREAKS[os.environ[VARIABLE]]()
    sys.exit(entry.main())
