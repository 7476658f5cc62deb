"""Fakes at the interfaces and virtual time, for tests and measurements."""

from sniperudder.testing._engines import FakeEngine
from sniperudder.testing._engines import predict_tokens
from sniperudder.testing._engines import RunRecord
from sniperudder.testing._engines import Speed
from sniperudder.testing._streams import Heard
from sniperudder.testing._streams import list_violations
from sniperudder.testing._streams import StreamFleet
from sniperudder.testing._timeline import VirtualTime

__all__ = [
    'FakeEngine',
    'Heard',
    'RunRecord',
    'Speed',
    'StreamFleet',
    'VirtualTime',
    'list_violations',
    'predict_tokens',
]
