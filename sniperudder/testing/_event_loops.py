"""Event loop in virtual time, for coroutines without input and output."""

import asyncio
import selectors


class _VirtualSelector(selectors.SelectSelector):
    """Advances the time of a loop instead of waiting."""

    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        """See base class."""
        if timeout is None:
            raise RuntimeError('nothing left to run: the coroutine hangs')
        self.now += max(timeout, 0.0)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop whose time advances only while all of its tasks wait.

    Examples
    --------
    >>> with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
    ...     runner.run(asyncio.sleep(3600))
    """

    def __init__(self):
        self._virtual_selector = _VirtualSelector()
        super().__init__(self._virtual_selector)

    def time(self):
        """See base class."""
        return self._virtual_selector.now
