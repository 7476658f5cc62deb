"""HTTP server for callers and forwarding of their requests to endpoints."""

from sniperudder.forwarding._caller_capacity import CallerCapacity
from sniperudder.forwarding._caller_capacity import create_capacity
from sniperudder.forwarding._caller_connections import CallerLimits
from sniperudder.forwarding._caller_connections import Cut
from sniperudder.forwarding._caller_server import CallerServer
from sniperudder.forwarding._connections import ConnectionPool
from sniperudder.forwarding._connections import request_json
from sniperudder.forwarding._engines import EngineClient
from sniperudder.forwarding._engines import NoResponse
from sniperudder.forwarding._forwarder import Forwarder
from sniperudder.forwarding._notices import NoticeRecorder
from sniperudder.forwarding._rerouting import DEAD_AVOID_S
from sniperudder.forwarding._turns import run_in_turns

__all__ = [
    'CallerCapacity',
    'CallerLimits',
    'CallerServer',
    'ConnectionPool',
    'Cut',
    'DEAD_AVOID_S',
    'EngineClient',
    'Forwarder',
    'NoResponse',
    'NoticeRecorder',
    'create_capacity',
    'request_json',
    'run_in_turns',
]
