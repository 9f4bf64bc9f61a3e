"""An entry host that pauses itself at a chosen point of a marked call.

A call whose body contains ``pause-before-send`` stops the process (SIGSTOP)
between the commit of its reservation and the send; ``pause-before-record``
stops it between the upstream's answer and the commit of that answer. A
mechanism of `tests.broken_entry` may be disabled at the same time.
"""

import os
import signal
import sys

from sapphireyard import entry
from sapphireyard.programs.executor import Executor
from sapphireyard.programs.reservations import Reservations
from tests.broken_entry import DISABLE_FUNCTIONS, MECHANISM_VARIABLE


def stop_at(owner, method, marker):
    """Stop the process before `method` runs for a call whose body has `marker`."""
    original = getattr(owner, method)

    async def stop(self, execution, *args):
        if marker in execution.call.body:
            os.kill(os.getpid(), signal.SIGSTOP)
        return await original(self, execution, *args)

    setattr(owner, method, stop)


if __name__ == "__main__":
    if MECHANISM_VARIABLE in os.environ:
        DISABLE_FUNCTIONS[os.environ[MECHANISM_VARIABLE]]()
    stop_at(Executor, "_send", "pause-before-send")
    stop_at(Reservations, "complete", "pause-before-record")
    sys.exit(entry.main())
