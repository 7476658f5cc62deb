"""Faults that can be injected into a running stand-in."""

import dataclasses
import os
import threading
import time

__all__ = ['Faults', 'FaultGate', 'UnknownFault']


class UnknownFault(ValueError):
    """Unknown name or invalid value of a fault."""


@dataclasses.dataclass(slots=True)
class Faults:
    """Faults in force; the default values mean no fault.

    Attributes
    ----------
    path : str
        Prefix of the paths of the calls that are affected.
    crash : str
        ``now`` ends the process at once, ``before`` at the next call
        before it runs, ``after`` at the next call after it ran.
    freeze_s : float
        Time from setting the fault until which calls wait before they
        run, seconds.
    refuse : bool
        Calls are refused with 503, marked as not run.
    hang_up : bool
        Connections are closed without running or answering calls.
    slow_s : float
        Delay of each call before it runs, seconds.
    delay_s : float
        Delay of each answer after the call ran, seconds.
    lose_answers : int
        Number of next calls that run but whose connection is closed
        without an answer.
    cut_answers : int
        Number of next answers that are truncated in the middle.
    cross_answers : int
        Number of next calls that get the previous call's answer.
    drop_events : bool
        Cache events are lost.
    ignore_fencing : bool
        Orders with an old fencing number are executed.
    lag_s : float
        Age of the data in scans, lists and load reports, seconds.
    """

    path: str = ''
    crash: str = ''
    freeze_s: float = 0.0
    refuse: bool = False
    hang_up: bool = False
    slow_s: float = 0.0
    delay_s: float = 0.0
    lose_answers: int = 0
    cut_answers: int = 0
    cross_answers: int = 0
    drop_events: bool = False
    ignore_fencing: bool = False
    lag_s: float = 0.0


_DEFAULTS = dataclasses.asdict(Faults())


def _exit():
    os._exit(1)


class FaultGate:
    """Holds the faults in force and applies those common to stand-ins.

    Parameters
    ----------
    crash : callable, optional
        Ends the process; by default with status 1, without clean-up.
    """

    def __init__(self, crash=None):
        self.faults = Faults()
        self._crash = crash or _exit
        self._changed = threading.Condition()
        self._thaw_at = 0.0
        self._closed = False

    def close(self):
        """End all pauses, as the server stops."""
        with self._changed:
            self._closed = True
            self._changed.notify_all()

    def pause(self, duration_s):
        """Wait for a duration, seconds, or until ``close``."""
        if duration_s > 0:
            with self._changed:
                self._changed.wait_for(lambda: self._closed, duration_s)

    def update(self, changes):
        """Change the faults in force.

        Parameters
        ----------
        changes : dict
            New values by attribute name of ``Faults``; other faults
            keep their values. An empty dict clears all faults.

        Raises
        ------
        UnknownFault
        """
        for name, value in changes.items():
            _check_fault(name, value)
        with self._changed:
            if not changes:
                self.faults = Faults()
                self._thaw_at = 0.0
            for name, value in changes.items():
                setattr(self.faults, name, type(_DEFAULTS[name])(value))
            if 'freeze_s' in changes:
                self._thaw_at = time.monotonic() + self.faults.freeze_s
            self._changed.notify_all()
        if self.faults.crash == 'now':
            self.crash()

    def crash(self):
        """End the process."""
        self._crash()

    def applies_to(self, path):
        """Return whether the faults affect calls to a path."""
        return path.startswith(self.faults.path)

    def wait(self):
        """Wait for the end of ``freeze_s``, then for ``slow_s``."""
        with self._changed:
            left = self._thaw_at - time.monotonic()
            while left > 0 and not self._closed:
                self._changed.wait(left)
                left = self._thaw_at - time.monotonic()
        self.pause(self.faults.slow_s)

    def delay_answer(self):
        """Wait for ``delay_s``."""
        self.pause(self.faults.delay_s)

    def crash_if(self, moment):
        """End the process if ``crash`` is set to this moment."""
        if self.faults.crash == moment:
            self.crash()

    def consume(self, name):
        """Decrement a counted fault; return whether it affects this call."""
        with self._changed:
            left = getattr(self.faults, name)
            if left > 0:
                setattr(self.faults, name, left - 1)
            return left > 0


def _check_fault(name, value):
    if name not in _DEFAULTS:
        known = ', '.join(sorted(_DEFAULTS))
        raise UnknownFault(f'unknown fault {name!r}; known faults: {known}')
    default = _DEFAULTS[name]
    kinds = (int, float) if isinstance(default, float) else (type(default),)
    if type(value) not in kinds:
        raise UnknownFault(f'{name} must be {type(default).__name__}')
    if name == 'crash' and value not in ('', 'now', 'before', 'after'):
        raise UnknownFault('crash must be empty, now, before or after')
