"""The tables that can be queried and their typed columns."""

import dataclasses
import enum

from sniperudder.outcomes import Execution
from sniperudder.tables import EndpointState
from sniperudder.tables import InstanceState
from sniperudder.tables import OrderState
from sniperudder.tables import RANKS
from sniperudder.tables import RequestState


class ColumnKind(enum.Enum):
    """Type of a column's values."""

    TEXT = 'text'
    CHOICE = 'choice'
    INTEGER = 'integer'
    NUMBER = 'number'
    SECONDS = 'seconds'
    FLAG = 'flag'


NUMERIC_KINDS = frozenset(
    {ColumnKind.INTEGER, ColumnKind.NUMBER, ColumnKind.SECONDS}
)


@dataclasses.dataclass(frozen=True, slots=True)
class Column:
    """A column of a table.

    Attributes
    ----------
    name : str
    kind : ColumnKind
    choices : tuple of str
        Allowed values of a column of kind ``CHOICE``, in sort order.
    shown_by_default : bool
        Whether a query that lists no columns includes this one.
    """

    name: str
    kind: ColumnKind = ColumnKind.TEXT
    choices: tuple = ()
    shown_by_default: bool = True


def _create_text_columns(*names):
    return tuple(Column(name) for name in names)


def _create_integer_columns(*names):
    return tuple(Column(name, ColumnKind.INTEGER) for name in names)


def _create_duration_columns(*names):
    return tuple(Column(name, ColumnKind.SECONDS) for name in names)


def _create_choice_column(name, values):
    return (Column(name, ColumnKind.CHOICE, tuple(values)),)


def _create_state_column(states):
    return _create_choice_column('state', (state.value for state in states))


def _create_flag_columns(*names):
    return tuple(Column(name, ColumnKind.FLAG) for name in names)


def _hide_by_default(columns):
    return tuple(
        dataclasses.replace(c, shown_by_default=False) for c in columns
    )


_NUMBER_KIND = ColumnKind.NUMBER
_RANK_COLUMN = _create_choice_column(
    'rank', (rank.name.lower() for rank in RANKS)
)

# The first column of every table is the instance that supplied the row.
TABLES = {
    'requests': (
        _create_text_columns('instance', 'name', 'organisation')
        + _RANK_COLUMN
        + _create_text_columns('model')
        + _create_state_column(RequestState)
        + _create_text_columns('endpoint')
        + _hide_by_default(_create_integer_columns('attempt'))
        + _create_integer_columns('tokens')
        + _create_duration_columns('wait_s', 'age_s')
        + _hide_by_default(_create_duration_columns('left_s'))
    ),
    'orders': (
        _create_text_columns('instance', 'name', 'organisation')
        + _RANK_COLUMN
        + _create_text_columns('service', 'key')
        + _create_state_column(OrderState)
        + _create_integer_columns('tries')
        + _create_duration_columns('age_s')
        + _hide_by_default(_create_duration_columns('left_s'))
    ),
    'endpoints': (
        _create_text_columns('instance', 'name')
        + _hide_by_default(_create_text_columns('data_centre', 'accelerator'))
        + _create_text_columns('model')
        + _hide_by_default(
            _create_text_columns('version')
            + _create_integer_columns('first_layer', 'end_layer')
        )
        + _create_state_column(EndpointState)
        + _create_flag_columns('withdrawn')
        + _create_integer_columns('streams', 'reported_streams', 'max_streams')
        + _hide_by_default(
            _create_integer_columns('failures')
            + _create_duration_columns('step_s', 'report_age_s')
        )
        + _create_duration_columns('last_sent_age_s')
    ),
    'instances': (
        _create_text_columns('instance', 'name', 'data_centre')
        + _create_state_column(InstanceState)
        + _create_flag_columns('listed')
        + _create_integer_columns('config_version', 'streams')
        + _hide_by_default(_create_integer_columns('incarnation'))
        + _create_duration_columns('heard_age_s', 'platform_age_s')
    ),
    'organisations': (
        _create_text_columns('instance', 'name')
        + (Column('weight', _NUMBER_KIND),)
        + _create_integer_columns('queued', 'running', 'orders')
    ),
    'refusals': (
        _create_text_columns('instance', 'name', 'organisation')
        + _RANK_COLUMN
        + _create_text_columns('target')
        + _create_integer_columns('code')
        + _create_text_columns('reason')
        + _hide_by_default(
            _create_choice_column(
                'execution', (item.value for item in Execution)
            )
        )
        + _create_text_columns('detail')
        + _create_duration_columns('age_s')
    ),
    'intents': (
        _create_text_columns('instance')
        + _create_integer_columns('version')
        + _create_text_columns('command_id', 'operator', 'kind')
        + _hide_by_default(_create_text_columns('body'))
        + _create_flag_columns('in_force')
    ),
    'config': (
        _create_text_columns('instance')
        + _create_integer_columns('version')
        + _create_text_columns('setting', 'name', 'value')
    ),
}


def get_columns(table):
    """Return the columns of a table as a dict keyed by column name.

    Raises
    ------
    KeyError
        If no such table exists.

    Examples
    --------
    >>> get_columns('refusals')['code'].kind.value
    'integer'
    """
    return {column.name: column for column in TABLES[table]}
