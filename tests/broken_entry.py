"""An entry host with one mechanism disabled, to check that the tests detect it.

``SAPPHIREYARD_BROKEN`` names the mechanism, a key of `DISABLE_FUNCTIONS`.
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

MECHANISM_VARIABLE = "SAPPHIREYARD_BROKEN"


def disable_intent():
    """Send calls that are not repeatable without a durable reservation."""
    commit = Reservations.commit

    async def skip(self, execution, *args):
        if execution.route.repeatable:
            await commit(self, execution, *args)

    Reservations.commit = skip


def disable_seal():
    """Treat a seal in place of the next segment as a success, and keep serving."""
    store = JournalService._store

    async def ignore(self, name, value):
        try:
            await store(self, name, value)
        except JournalSealed:
            return

    JournalService._store = ignore
    OwnershipService.handle_seal = lambda self: None


def disable_join():
    """Run a repeated call in parallel with the one already running."""
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


def disable_freshness():
    """Serve regardless of the age of the configuration."""
    ConfigurationService.check_fresh = lambda self: None


def disable_drain():
    """Stop without draining."""

    async def stop(self):
        return

    entry.EntryService.drain = stop


def disable_quarantine():
    """Run requests again although they crashed upstreams."""
    QuarantineService.check = lambda self, *args, **options: None


def disable_budget():
    """Neither reserve nor limit tokens."""
    Executor._plan_tokens = lambda self, execution: (
        execution.body.get("max_tokens", 0),
        0,
    )


DISABLE_FUNCTIONS = {
    "intent": disable_intent,
    "seal": disable_seal,
    "join": disable_join,
    "freshness": disable_freshness,
    "drain": disable_drain,
    "quarantine": disable_quarantine,
    "budget": disable_budget,
}


if __name__ == "__main__":
    DISABLE_FUNCTIONS[os.environ[MECHANISM_VARIABLE]]()
    sys.exit(entry.main())
