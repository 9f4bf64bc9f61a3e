"""An entry host that stops itself at a chosen line of a marked call.

A call whose body has ``pause-before-send`` stops the process (SIGSTOP)
between the commit of its reservation and the send; ``pause-before-record``
between the upstream's answer and its commit. `tests.broken_entry` may switch a
mechanism off at the same time.
"""

import os
import signal
import sys

from sapphireyard import entry
from sapphireyard.programs.executor import Executor
from sapphireyard.programs.reservations import Reservations
from tests.broken_entry import BREAKS, VARIABLE


def stop_at(owner, method, marker):
    """Stop the process before `method` of a call whose body has `marker`."""
    plain = getattr(owner, method)

    async def stop(self, execution, *args):
        if marker in execution.call.body:
            os.kill(os.getpid(), signal.SIGSTOP)
        return await plain(self, execution, *args)

    setattr(owner, method, stop)


if __name__ == "__main__":
    if VARIABLE in os.environ:
        BREAKS[os.environ[VARIABLE]]()
    stop_at(Executor, "_send", "pause-before-send")
    stop_at(Reservations, "complete", "pause-before-record")
    sys.exit(entry.main())
