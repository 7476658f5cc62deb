"""Clients of model engines."""

from sniperudder.endpoints._client import EngineClient

__all__ = [
    'EngineClient',
]
