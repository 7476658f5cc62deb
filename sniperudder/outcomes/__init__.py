"""Numeric result codes, and the outcome types that carry them."""

from sniperudder.outcomes._codes import Code
from sniperudder.outcomes._codes import describe_code
from sniperudder.outcomes._codes import Execution
from sniperudder.outcomes._codes import list_codes
from sniperudder.outcomes._commands import CommandOutcome
from sniperudder.outcomes._commands import CommittedAt
from sniperudder.outcomes._commands import LostTo
from sniperudder.outcomes._commands import NotDone
from sniperudder.outcomes._commands import UnknownSoFar
from sniperudder.outcomes._outcomes import Answered
from sniperudder.outcomes._outcomes import Failed
from sniperudder.outcomes._outcomes import InDoubt
from sniperudder.outcomes._outcomes import Outcome
from sniperudder.outcomes._outcomes import Refused
from sniperudder.outcomes._pages import render_codes

__all__ = [
    'Answered',
    'Code',
    'CommandOutcome',
    'CommittedAt',
    'Execution',
    'Failed',
    'InDoubt',
    'LostTo',
    'NotDone',
    'Outcome',
    'Refused',
    'UnknownSoFar',
    'describe_code',
    'list_codes',
    'render_codes',
]
