"""The command-line interface."""

from sniperudder.commands._main import main
from sniperudder.commands._status import Status

__all__ = [
    'Status',
    'main',
]
