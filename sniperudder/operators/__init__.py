"""HTTP interface for administration by operators.

``POST /admin/query`` and ``POST /admin/command`` take the JSON object
``{"text": ..., "id": ..., "timeout_s": ...}``, ``GET /admin/verify/ID``
takes no body. All return ``{"columns", "rows", "missing", "detail"}``,
with ``state`` for commands, and ``code``, ``type`` and ``class`` for
refusals.
"""

from sniperudder.operators._application import Application
from sniperudder.operators._application import create_application
from sniperudder.operators._backend import OperatorBackend

__all__ = [
    'Application',
    'OperatorBackend',
    'create_application',
]
