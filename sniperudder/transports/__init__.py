"""HTTP calls that report whether the request may have been delivered."""

from sniperudder.transports._http import CallFailure
from sniperudder.transports._http import create_transport
from sniperudder.transports._http import HttpTransport
from sniperudder.transports._http import Response

__all__ = [
    'CallFailure',
    'HttpTransport',
    'Response',
    'create_transport',
]
