"""Discrete-event simulation of fleets, for tests and measurements.

Real decision code runs in virtual time over in-memory fakes of the
platform, the engines and the services.
"""

from sniperudder.testing._chaos import Chaos
from sniperudder.testing._chaos import draw_steps
from sniperudder.testing._chaos import run_chaos
from sniperudder.testing._engines import FakeEngine
from sniperudder.testing._engines import IterationTimes
from sniperudder.testing._engines import predict_tokens
from sniperudder.testing._engines import RunRecord
from sniperudder.testing._event_loops import VirtualTimeLoop
from sniperudder.testing._faults import Caller
from sniperudder.testing._faults import check_streams
from sniperudder.testing._faults import create_stream_fleet
from sniperudder.testing._faults import draw_plan
from sniperudder.testing._faults import Fault
from sniperudder.testing._faults import FaultKind
from sniperudder.testing._faults import list_endpoints
from sniperudder.testing._faults import StreamPlan
from sniperudder.testing._faults import StreamSimulation
from sniperudder.testing._fleet import create_fleet
from sniperudder.testing._fleet import Fleet
from sniperudder.testing._fleet import Node
from sniperudder.testing._operators import CommandRecord
from sniperudder.testing._operators import ENDPOINTS
from sniperudder.testing._operators import fill_endpoints
from sniperudder.testing._operators import GuaranteeMonitor
from sniperudder.testing._platform import FakePlatform
from sniperudder.testing._streams import list_violations
from sniperudder.testing._streams import ReceivedAnswer
from sniperudder.testing._streams import StreamFleet
from sniperudder.testing._virtual_time import VirtualTime
from sniperudder.testing._windows import count_most

__all__ = [
    'CommandRecord',
    'Chaos',
    'ENDPOINTS',
    'FakeEngine',
    'Fault',
    'FaultKind',
    'FakePlatform',
    'Fleet',
    'ReceivedAnswer',
    'Node',
    'RunRecord',
    'IterationTimes',
    'StreamFleet',
    'StreamPlan',
    'StreamSimulation',
    'VirtualTime',
    'VirtualTimeLoop',
    'GuaranteeMonitor',
    'Caller',
    'check_streams',
    'count_most',
    'create_fleet',
    'create_stream_fleet',
    'draw_plan',
    'draw_steps',
    'fill_endpoints',
    'list_endpoints',
    'list_violations',
    'predict_tokens',
    'run_chaos',
]
