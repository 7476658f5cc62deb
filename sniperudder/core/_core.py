"""The way of an input to its system, and the order of the systems."""

from sniperudder import inputs
from sniperudder.systems import drain
from sniperudder.systems import requests

_SYSTEMS = (drain, requests)
_TICKS = (requests.run_requests,)

_HANDLERS = {}
_PURPOSES = {}
for _system in _SYSTEMS:
    _HANDLERS.update(_system.HANDLERS)
    _PURPOSES.update(_system.PURPOSES)


def handle_input(T, inp, now):
    """Give one input to the system that handles it.

    Parameters
    ----------
    T : Tables
    inp : record of sniperudder.inputs
    now : float
        Seconds on a clock that counts suspension.

    Returns
    -------
    list of effect

    Raises
    ------
    InvariantBroken
        If a promise was about to be broken; nothing was done.
    """
    if isinstance(inp, inputs.TransactReturned | inputs.ScanReturned):
        handler = _PURPOSES[type(inp.purpose)]
    else:
        handler = _HANDLERS[type(inp)]
    return handler(T, inp, now)


def run_tick(T, now):
    """Run what is due in every system.

    Parameters
    ----------
    T : Tables
    now : float
        Seconds.

    Returns
    -------
    list of effect
    """
    result = []
    for run in _TICKS:
        result.extend(run(T, now))
    return result
