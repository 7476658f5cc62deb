"""The tables that queries may name and their typed columns."""

import dataclasses
import enum

from sniperudder.outcomes import Execution
from sniperudder.tables import EndpointState
from sniperudder.tables import InstanceState
from sniperudder.tables import OrderState
from sniperudder.tables import RANKS
from sniperudder.tables import RequestState


class Kind(enum.Enum):
    """Type of a column's values."""

    TEXT = 'text'
    CHOICE = 'choice'
    INTEGER = 'integer'
    NUMBER = 'number'
    SECONDS = 'seconds'
    FLAG = 'flag'


NUMERIC = frozenset({Kind.INTEGER, Kind.NUMBER, Kind.SECONDS})


@dataclasses.dataclass(frozen=True, slots=True)
class Column:
    """A column of a table.

    Attributes
    ----------
    name : str
    kind : Kind
    choices : tuple of str
        Values of a column of kind ``CHOICE``, in sorting order.
    shown : bool
        Whether a query that names no columns shows it.
    """

    name: str
    kind: Kind = Kind.TEXT
    choices: tuple = ()
    shown: bool = True


def _text(*names):
    return tuple(Column(name) for name in names)


def _integers(*names):
    return tuple(Column(name, Kind.INTEGER) for name in names)


def _seconds(*names):
    return tuple(Column(name, Kind.SECONDS) for name in names)


def _choice(name, values):
    return (Column(name, Kind.CHOICE, tuple(values)),)


def _states(states):
    return _choice('state', (state.value for state in states))


def _flags(*names):
    return tuple(Column(name, Kind.FLAG) for name in names)


def _hide(columns):
    return tuple(dataclasses.replace(c, shown=False) for c in columns)


_NUMBER = Kind.NUMBER
_RANK = _choice('rank', (rank.name.lower() for rank in RANKS))

# The first column of every table names the instance that answered.
TABLES = {
    'requests': (
        _text('instance', 'name', 'organisation')
        + _RANK
        + _text('model')
        + _states(RequestState)
        + _text('endpoint')
        + _hide(_integers('attempt'))
        + _integers('tokens')
        + _seconds('wait_s', 'age_s')
        + _hide(_seconds('left_s'))
    ),
    'orders': (
        _text('instance', 'name', 'organisation')
        + _RANK
        + _text('service', 'key')
        + _states(OrderState)
        + _integers('tries')
        + _seconds('age_s')
        + _hide(_seconds('left_s'))
    ),
    'endpoints': (
        _text('instance', 'name')
        + _hide(_text('data_centre', 'accelerator'))
        + _text('model')
        + _hide(_text('version') + _integers('first_layer', 'end_layer'))
        + _states(EndpointState)
        + _flags('withdrawn')
        + _integers('streams', 'reported_streams', 'max_streams')
        + _hide(_integers('failures') + _seconds('step_s', 'report_age_s'))
        + _seconds('last_sent_age_s')
    ),
    'instances': (
        _text('instance', 'name', 'data_centre')
        + _states(InstanceState)
        + _flags('listed')
        + _integers('config_version', 'streams')
        + _hide(_integers('incarnation'))
        + _seconds('heard_age_s', 'platform_age_s')
    ),
    'organisations': (
        _text('instance', 'name')
        + (Column('weight', _NUMBER),)
        + _integers('queued', 'running', 'orders')
    ),
    'refusals': (
        _text('instance', 'name', 'organisation')
        + _RANK
        + _text('target')
        + _integers('code')
        + _text('reason')
        + _hide(_choice('execution', (item.value for item in Execution)))
        + _text('detail')
        + _seconds('age_s')
    ),
    'intents': (
        _text('instance')
        + _integers('version')
        + _text('command_id', 'operator', 'kind')
        + _hide(_text('body'))
        + _flags('in_force')
    ),
    'config': (
        _text('instance')
        + _integers('version')
        + _text('setting', 'name', 'value')
    ),
}


def get_columns(table):
    """Return the columns of a table as a dict by name.

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
