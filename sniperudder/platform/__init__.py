"""Clients of the platform."""

from sniperudder.platform._client import PlatformClient

__all__ = [
    'PlatformClient',
]
