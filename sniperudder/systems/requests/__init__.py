"""Generation requests at the entry that their callers are connected to."""

from sniperudder import inputs
from sniperudder import messages
from sniperudder.systems import dispatch
from sniperudder.systems.requests._admission import admit_request
from sniperudder.systems.requests._admission import compute_fingerprint
from sniperudder.systems.requests._execution import handle_disconnect
from sniperudder.systems.requests._execution import handle_step_failure
from sniperudder.systems.requests._execution import handle_step_result
from sniperudder.systems.requests import _slots
from sniperudder.systems.requests._steps import find_start_deadline
from sniperudder.systems.requests._timers import run_requests

__all__ = [
    'HANDLERS',
    'PURPOSES',
    'admit_request',
    'compute_fingerprint',
    'find_start_deadline',
    'handle_disconnect',
    'handle_step_failure',
    'handle_step_result',
    'run_requests',
]

HANDLERS = {
    inputs.CallerDisconnected: handle_disconnect,
    inputs.SlotMessageLost: _slots.handle_slot_message_lost,
    inputs.RequestArrived: admit_request,
    inputs.StepFailed: handle_step_failure,
    inputs.StepReturned: handle_step_result,
}

PURPOSES = {}

dispatch.register_receiver(messages.GrantSlot, _slots.handle_grant)
dispatch.register_receiver(messages.DenySlot, _slots.handle_denial)
dispatch.register_receiver(messages.RevokeSlot, _slots.handle_revocation)
dispatch.register_receiver(messages.ForgotSlots, _slots.handle_forgotten)
