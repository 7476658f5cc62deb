"""The command line."""

from sniperudder.commands._main import main
from sniperudder.commands._status import Status

__all__ = [
    'Status',
    'main',
]
