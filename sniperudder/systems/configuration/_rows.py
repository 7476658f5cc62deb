"""Keys and encoding of the configuration's rows in the table service."""

import dataclasses
import json

from sniperudder.outcomes import Code
from sniperudder.outcomes import CommittedAt
from sniperudder.outcomes import LostTo
from sniperudder.outcomes import NotDone
from sniperudder.tables import Change

HEAD_KEY = 'config/head'
"""Key of the row whose version is the configuration's version."""

CHANGE_PREFIX = 'config/change/'


def make_change_key(version):
    """Return the key of a change; keys sort in order of versions.

    Examples
    --------
    >>> make_change_key(123)
    'config/change/000000000123'
    """
    return f'{CHANGE_PREFIX}{version:012d}'


def make_command_key(command):
    """Return the key of the row with a command's outcome."""
    return f'config/command/{command}'


def encode_change(change):
    """Return a change as JSON."""
    return json.dumps(dataclasses.asdict(change), separators=(',', ':'))


def decode_change(value):
    """Return the change encoded by ``encode_change``."""
    return Change(**json.loads(value))


def encode_outcome(kind, body, outcome):
    """Return a command's intent and final outcome as JSON.

    Parameters
    ----------
    kind, body : str
        Encoded intent, see ``sniperudder.intents.encode_intent``.
    outcome : CommittedAt, LostTo or NotDone
    """
    fields = dataclasses.asdict(outcome)
    tag = type(outcome).__name__
    row = {'kind': kind, 'body': body, 'tag': tag, 'outcome': fields}
    return json.dumps(row, separators=(',', ':'))


def decode_outcome(kind, body, value):
    """Return the outcome stored in a row, as the answer to a command.

    Parameters
    ----------
    kind, body : str
        Encoded intent of the command.
    value : str
        The row's value, see ``encode_outcome``.

    Returns
    -------
    CommittedAt, LostTo or NotDone
        ``NotDone`` if the row was stored for another intent.
    """
    row = json.loads(value)
    if (row['kind'], row['body']) != (kind, body):
        return NotDone(
            Code.IDEMPOTENCY_CONFLICT,
            'the identifier was used before for another command',
        )
    fields = row['outcome']
    if row['tag'] == 'CommittedAt':
        return CommittedAt(**fields)
    if row['tag'] == 'LostTo':
        return LostTo(**fields)
    return NotDone(Code(fields['code']), fields['detail'])
