"""Clients of plain services."""

from sniperudder.services._client import ServiceClient

__all__ = [
    'ServiceClient',
]
