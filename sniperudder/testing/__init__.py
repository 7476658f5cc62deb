"""Fakes at the interfaces and a driver of many decision cores."""

from sniperudder.testing._fleet import create_fleet
from sniperudder.testing._fleet import Fleet
from sniperudder.testing._fleet import Node
from sniperudder.testing._platform import FakePlatform

__all__ = [
    'FakePlatform',
    'Fleet',
    'Node',
    'create_fleet',
]
