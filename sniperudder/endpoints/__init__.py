"""Clients of model engines."""

from sniperudder.endpoints._client import EngineClient
from sniperudder.endpoints._http import create_engine_client
from sniperudder.endpoints._http import HttpEngineClient

__all__ = [
    'EngineClient',
    'HttpEngineClient',
    'create_engine_client',
]
