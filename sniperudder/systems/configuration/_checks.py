"""Whether a command may be committed on the configuration in force."""

from sniperudder.intents import Allow
from sniperudder.intents import Return
from sniperudder.intents import StopInstance
from sniperudder.intents import Withdraw
from sniperudder.outcomes import Code
from sniperudder.outcomes import NotDone


def check_intent(T, intent, force):
    """Return why an intent cannot be committed, or None.

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
        return _check_cover(T, intent.endpoint)
    return None


def _check_cover(T, leaving):
    left = T.config.withdrawn | {leaving}
    ep = T.endpoints[leaving]
    model = T.models.get(ep.model)
    if model is None:
        return None
    rest = [
        (other.first_layer, other.end_layer)
        for other in T.endpoints.values()
        if other.model == ep.model
        and other.version == ep.version
        and other.name not in left
    ]
    if _covers(rest, model.layers):
        return None
    return NotDone(Code.MODEL_UNCOVERED, model.name)


def _covers(ranges, layers):
    """Return whether a chain of ranges tiles all layers exactly."""
    reached = {0}
    for first, end in sorted(ranges):
        if first in reached:
            reached.add(end)
    return layers in reached
