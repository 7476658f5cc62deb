"""Clients of the platform."""

from sniperudder.platform._client import PlatformClient
from sniperudder.platform._http import create_platform_client
from sniperudder.platform._http import HttpPlatformClient

__all__ = [
    'HttpPlatformClient',
    'PlatformClient',
    'create_platform_client',
]
