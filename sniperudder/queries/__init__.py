"""The query and command language for operators.

A query is parsed, evaluated by each instance over rows of its own tables,
and the partial results are combined by the instance that received the
query. A command is parsed into a typed record. See docs/QUERIES.md.
"""

from sniperudder.queries._columns import Column
from sniperudder.queries._columns import ColumnKind
from sniperudder.queries._columns import get_columns
from sniperudder.queries._columns import TABLES
from sniperudder.queries._commands import Command
from sniperudder.queries._commands import PlanIntent
from sniperudder.queries._commands import SubmitIntent
from sniperudder.queries._commands import VerifyCommand
from sniperudder.queries._commands import WatchCommand
from sniperudder.queries._formats import format_command
from sniperudder.queries._formats import format_intent
from sniperudder.queries._formats import format_query
from sniperudder.queries._parser import parse_command
from sniperudder.queries._parser import parse_query
from sniperudder.queries._partials import combine_partials
from sniperudder.queries._partials import decode_partial
from sniperudder.queries._partials import encode_partial
from sniperudder.queries._partials import evaluate_partial
from sniperudder.queries._partials import Partial
from sniperudder.queries._partials import Result
from sniperudder.queries._plans import IntentPlan
from sniperudder.queries._plans import Objection
from sniperudder.queries._plans import plan_intent
from sniperudder.queries._records import Aggregate
from sniperudder.queries._records import Comparison
from sniperudder.queries._records import Condition
from sniperudder.queries._records import Conjunction
from sniperudder.queries._records import Disjunction
from sniperudder.queries._records import Match
from sniperudder.queries._records import Membership
from sniperudder.queries._records import Negation
from sniperudder.queries._records import Ordering
from sniperudder.queries._records import Query
from sniperudder.queries._records import Range
from sniperudder.queries._rendering import convert_to_dict
from sniperudder.queries._rendering import remove_control_chars
from sniperudder.queries._rendering import render_grid
from sniperudder.queries._rendering import render_json
from sniperudder.queries._rendering import render_table
from sniperudder.queries._rows import list_rows
from sniperudder.queries._syntax_errors import create_syntax_error
from sniperudder.queries._syntax_errors import join_alternatives

__all__ = [
    'Aggregate',
    'Column',
    'ColumnKind',
    'Command',
    'Comparison',
    'Condition',
    'Conjunction',
    'Disjunction',
    'IntentPlan',
    'Match',
    'Membership',
    'Negation',
    'Objection',
    'Ordering',
    'Partial',
    'PlanIntent',
    'Query',
    'Range',
    'Result',
    'SubmitIntent',
    'TABLES',
    'VerifyCommand',
    'WatchCommand',
    'combine_partials',
    'convert_to_dict',
    'create_syntax_error',
    'decode_partial',
    'encode_partial',
    'evaluate_partial',
    'format_command',
    'format_intent',
    'format_query',
    'get_columns',
    'join_alternatives',
    'list_rows',
    'parse_command',
    'parse_query',
    'plan_intent',
    'remove_control_chars',
    'render_grid',
    'render_json',
    'render_table',
]
