"""The administration interface over HTTP.

``POST /admin/query`` and ``POST /admin/command`` take the JSON object
``{"text": ..., "id": ..., "timeout_s": ...}``, ``GET /admin/verify/ID``
takes nothing. All answer ``{"columns", "rows", "missing", "detail"}``,
with ``state`` where a command is concerned, and ``code``, ``type`` and
``class`` in refusals.
"""

from sniperudder.operators._application import Application
from sniperudder.operators._application import create_application
from sniperudder.operators._backend import OperatorBackend

__all__ = [
    'Application',
    'OperatorBackend',
    'create_application',
]
