"""Requests for tokens: admission, queues, chains, steps, failures."""

from sniperudder import inputs
from sniperudder.systems.requests._admission import admit_request
from sniperudder.systems.requests._admission import compute_fingerprint
from sniperudder.systems.requests._chains import choose_chain
from sniperudder.systems.requests._chains import count_share
from sniperudder.systems.requests._chains import is_chain_whole
from sniperudder.systems.requests._dispatch import dispatch_requests
from sniperudder.systems.requests._dispatch import may_start
from sniperudder.systems.requests._dispatch import run_requests
from sniperudder.systems.requests._health import record_load
from sniperudder.systems.requests._pipeline import accept_step
from sniperudder.systems.requests._pipeline import drop_caller
from sniperudder.systems.requests._pipeline import handle_failure

__all__ = [
    'HANDLERS',
    'PURPOSES',
    'accept_step',
    'admit_request',
    'choose_chain',
    'compute_fingerprint',
    'count_share',
    'dispatch_requests',
    'drop_caller',
    'handle_failure',
    'is_chain_whole',
    'may_start',
    'record_load',
    'run_requests',
]

HANDLERS = {
    inputs.CallerLeft: drop_caller,
    inputs.LoadReported: record_load,
    inputs.RequestArrived: admit_request,
    inputs.StepFailed: handle_failure,
    inputs.StepReturned: accept_step,
}

PURPOSES = {}
