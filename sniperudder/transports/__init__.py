"""HTTP calls that report whether the request may have been delivered."""

from sniperudder.transports._http import create_transport
from sniperudder.transports._http import HttpTransport
from sniperudder.transports._http import NoReply
from sniperudder.transports._http import Reply

__all__ = [
    'HttpTransport',
    'NoReply',
    'Reply',
    'create_transport',
]
