"""HTTP interface for callers: completions and service orders."""

from sniperudder.callers._application import create_application
from sniperudder.callers._server import create_server

__all__ = ['create_application', 'create_server']
