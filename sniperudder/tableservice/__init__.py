"""Client of the platform's table service, object store and instance list."""

from sniperudder.tableservice._client import PlatformClient
from sniperudder.tableservice._http import create_platform_client
from sniperudder.tableservice._http import HttpPlatformClient

__all__ = [
    'HttpPlatformClient',
    'PlatformClient',
    'create_platform_client',
]
