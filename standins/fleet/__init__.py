"""The users' platform on loopback: store, engines and plain endpoints.

Speaks the published protocol as far as the tests need it, on the loop of
the test itself; no process and no thread.
"""

from standins.fleet._configuration import make_configuration
from standins.fleet._configuration import make_engine
from standins.fleet._crashing import CrashingEngine
from standins.fleet._endpoints import EndpointStandin
from standins.fleet._messages import make_seal
from standins.fleet._messages import read_header
from standins.fleet._messages import read_shared_parts
from standins.fleet._messages import send_request
from standins.fleet._messages import write_response
from standins.fleet._store import StoreStandin

__all__ = [
    'CrashingEngine',
    'EndpointStandin',
    'StoreStandin',
    'make_configuration',
    'make_engine',
    'make_seal',
    'read_header',
    'read_shared_parts',
    'send_request',
    'write_response',
]
