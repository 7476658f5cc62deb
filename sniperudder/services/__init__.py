"""Clients for plain services."""

from sniperudder.services._client import ServiceClient
from sniperudder.services._http import create_service_client
from sniperudder.services._http import HttpServiceClient

__all__ = [
    'HttpServiceClient',
    'ServiceClient',
    'create_service_client',
]
