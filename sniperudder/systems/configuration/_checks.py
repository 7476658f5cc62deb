"""Validation of commands against the configuration in force."""

from sniperudder.intents import Allow
from sniperudder.intents import Return
from sniperudder.intents import StopInstance
from sniperudder.intents import Withdraw
from sniperudder.outcomes import Code
from sniperudder.outcomes import NotDone


def check_intent(T, intent, force):
    """Return why an intent cannot be committed, or None.

    Parameters
    ----------
    T : sniperudder.tables.Tables
    intent : sniperudder.intents.Intent
    force : bool
        Whether an endpoint may be withdrawn although its model is left
        without a complete chain.

    Returns
    -------
    NotDone or None
    """
    if isinstance(intent, Withdraw | Return | Allow):
        if intent.endpoint not in T.endpoints:
            return NotDone(Code.UNKNOWN_ENDPOINT, intent.endpoint)
    if isinstance(intent, StopInstance):
        known = set(T.instances) | T.config.members
        if intent.instance not in known:
            return NotDone(Code.UNKNOWN_INSTANCE, intent.instance)
    if isinstance(intent, Withdraw) and not (force or intent.force):
        return _check_coverage(T, intent.endpoint)
    return None


def _check_coverage(T, withdrawn_name):
    unavailable = T.config.withdrawn | {withdrawn_name}
    ep = T.endpoints[withdrawn_name]
    model = T.models.get(ep.model)
    if model is None:
        return None
    available_ranges = [
        (other.first_layer, other.end_layer)
        for other in T.endpoints.values()
        if other.model == ep.model
        and other.version == ep.version
        and other.name not in unavailable
    ]
    if _covers(available_ranges, model.layers):
        return None
    return NotDone(Code.MODEL_UNCOVERED, model.name)


def _covers(ranges, layers):
    """Return whether adjoining ranges can cover all layers exactly."""
    reached = {0}
    for first, end in sorted(ranges):
        if first in reached:
            reached.add(end)
    return layers in reached
