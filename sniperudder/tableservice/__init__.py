"""Client of the platform, where the step-driven interface stores its rows."""

from sniperudder.tableservice._client import PlatformClient
from sniperudder.tableservice._http import create_platform_client
from sniperudder.tableservice._http import HttpPlatformClient

__all__ = [
    'HttpPlatformClient',
    'PlatformClient',
    'create_platform_client',
]
