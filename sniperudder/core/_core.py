"""Dispatch of inputs to systems, and the order of systems in a tick."""

from sniperudder import inputs
from sniperudder.systems import configuration
from sniperudder.systems import dispatch
from sniperudder.systems import drain
from sniperudder.systems import health
from sniperudder.systems import membership
from sniperudder.systems import orders
from sniperudder.systems import refusals
from sniperudder.systems import requests
from sniperudder.systems import restoration

_SYSTEMS = (
    configuration,
    drain,
    membership,
    health,
    dispatch,
    orders,
    requests,
)
_TICK_FUNCTIONS = (
    membership.run_membership,
    configuration.run_configuration,
    orders.run_orders,
    dispatch.run_dispatch,
    requests.run_requests,
)

# An input may concern several systems: a caller that disconnected may
# have been waiting for a request or for an order.
_HANDLERS = {}
_PURPOSES = {}
for _system in _SYSTEMS:
    for _kind, _handler in _system.HANDLERS.items():
        _HANDLERS.setdefault(_kind, []).append(_handler)
    _PURPOSES.update(_system.PURPOSES)


def handle_input(T, inp, now):
    """Handle one input by each system that it concerns.

    Parameters
    ----------
    T : Tables
    inp : record of sniperudder.inputs
    now : float
        Seconds on a clock that counts suspension.

    Returns
    -------
    list of record of sniperudder.effects

    Raises
    ------
    InvariantBroken
        If an effect would break an invariant; none of the input's
        effects is returned.
    """
    refusals.record_arrival(T, inp)
    result = _dispatch_input(T, inp, now)
    refusals.record_outcomes(T, result, now)
    return result


def _dispatch_input(T, inp, now):
    result = []
    if isinstance(inp, inputs.TransactReturned):
        inp, result = restoration.receive_result(T, inp, now)
    if isinstance(inp, inputs.TransactReturned | inputs.ScanReturned):
        return result + _PURPOSES[type(inp.purpose)](T, inp, now)
    for handler in _HANDLERS[type(inp)]:
        result.extend(handler(T, inp, now))
    return result


def run_tick(T, now):
    """Run the work that is due in each system.

    Parameters
    ----------
    T : Tables
    now : float
        Seconds.

    Returns
    -------
    list of record of sniperudder.effects
    """
    result = []
    for run in _TICK_FUNCTIONS:
        result.extend(run(T, now))
    refusals.record_outcomes(T, result, now)
    return result
