"""Fakes at the interfaces and virtual time, for tests and measurements."""

from sniperudder.testing._engines import FakeEngine
from sniperudder.testing._engines import predict_tokens
from sniperudder.testing._engines import RunRecord
from sniperudder.testing._engines import Speed
from sniperudder.testing._fleet import create_fleet
from sniperudder.testing._fleet import Fleet
from sniperudder.testing._fleet import Node
from sniperudder.testing._platform import FakePlatform
from sniperudder.testing._streams import Heard
from sniperudder.testing._streams import list_violations
from sniperudder.testing._streams import StreamFleet
from sniperudder.testing._timeline import VirtualTime

__all__ = [
    'FakeEngine',
    'FakePlatform',
    'Fleet',
    'Heard',
    'Node',
    'RunRecord',
    'Speed',
    'StreamFleet',
    'VirtualTime',
    'create_fleet',
    'list_violations',
    'predict_tokens',
]
