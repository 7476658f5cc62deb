"""Calls over HTTP that tell honestly how far they got."""

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
