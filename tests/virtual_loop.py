"""An event loop whose time jumps, so that a test never depends on the machine."""

import asyncio
import selectors

STEP_SECONDS = 1e-6
"""Added to each jump, so that rounding cannot leave a timer undue."""


class _JumpingSelector(selectors.DefaultSelector):
    """Waits in virtual time: instead of waiting it moves the loop's clock."""

    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        if timeout:
            self.now += timeout + STEP_SECONDS
            timeout = 0
        return super().select(timeout)


class VirtualLoop(asyncio.SelectorEventLoop):
    """A loop for tests without sockets, processes or threads."""

    def __init__(self):
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self):
        return self._jumping.now
