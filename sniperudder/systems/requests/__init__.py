"""Requests for tokens at the entry that holds their caller."""

from sniperudder import inputs
from sniperudder import messages
from sniperudder.systems import dispatch
from sniperudder.systems.requests._admission import admit_request
from sniperudder.systems.requests._admission import compute_fingerprint
from sniperudder.systems.requests._pipeline import accept_step
from sniperudder.systems.requests._pipeline import drop_caller
from sniperudder.systems.requests._pipeline import handle_failure
from sniperudder.systems.requests import _slots
from sniperudder.systems.requests._steps import find_start_by
from sniperudder.systems.requests._timers import run_requests

__all__ = [
    'HANDLERS',
    'PURPOSES',
    'accept_step',
    'admit_request',
    'compute_fingerprint',
    'drop_caller',
    'find_start_by',
    'handle_failure',
    'run_requests',
]

HANDLERS = {
    inputs.CallerLeft: drop_caller,
    inputs.PostLost: _slots.take_loss,
    inputs.RequestArrived: admit_request,
    inputs.StepFailed: handle_failure,
    inputs.StepReturned: accept_step,
}

PURPOSES = {}

dispatch.register_receiver(messages.GrantSlot, _slots.take_grant)
dispatch.register_receiver(messages.DenySlot, _slots.take_denial)
dispatch.register_receiver(messages.RevokeSlot, _slots.take_revocation)
dispatch.register_receiver(messages.ForgotSlots, _slots.take_forgotten)
