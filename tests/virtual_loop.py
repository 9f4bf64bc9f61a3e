"""An event loop in virtual time, so that tests do not depend on the machine's speed."""

import asyncio
import selectors

STEP_SECONDS = 1e-6
"""Added to each advance, so that rounding cannot leave a timer not yet due."""


class _VirtualSelector(selectors.DefaultSelector):
    """Advances the loop's clock instead of waiting."""

    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        if timeout:
            self.now += timeout + STEP_SECONDS
            timeout = 0
        return super().select(timeout)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop for tests without sockets, processes or threads."""

    def __init__(self):
        self._virtual_selector = _VirtualSelector()
        super().__init__(self._virtual_selector)

    def time(self):
        return self._virtual_selector.now
