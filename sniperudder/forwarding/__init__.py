"""HTTP server for callers and forwarding of their requests to endpoints."""

from sniperudder.forwarding._caller_server import CallerLimits
from sniperudder.forwarding._caller_server import CallerServer
from sniperudder.forwarding._connections import call
from sniperudder.forwarding._connections import ChannelPool
from sniperudder.forwarding._engines import EngineCaller
from sniperudder.forwarding._engines import Unanswered
from sniperudder.forwarding._forwarder import Forwarder

__all__ = [
    'CallerLimits',
    'CallerServer',
    'ChannelPool',
    'EngineCaller',
    'Forwarder',
    'Unanswered',
    'call',
]
