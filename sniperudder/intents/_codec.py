"""Encoding of intents as JSON."""

import dataclasses
import json
import typing

from sniperudder.intents import _intents
from sniperudder.tables import Rank

_KINDS = {kind.__name__: kind for kind in typing.get_args(_intents.Intent)}


def _to_json(value):
    if isinstance(value, Rank):
        return value.name.lower()
    if isinstance(value, tuple):
        return [_to_json(item) for item in value]
    return value


def encode_intent(intent):
    """Return an intent's kind and body.

    Parameters
    ----------
    intent : Intent

    Returns
    -------
    kind, body : str
        Name of the class and a JSON object.

    Examples
    --------
    >>> encode_intent(_intents.Return('gpu-1'))
    ('Return', '{"endpoint":"gpu-1"}')
    """
    fields = {
        field.name: _to_json(getattr(intent, field.name))
        for field in dataclasses.fields(intent)
    }
    body = json.dumps(fields, sort_keys=True, separators=(',', ':'))
    return type(intent).__name__, body


def decode_intent(kind, body):
    """Return the intent encoded by ``encode_intent``.

    Parameters
    ----------
    kind, body : str

    Raises
    ------
    ValueError
        If the kind is unknown or a field is missing, unknown or invalid.

    Examples
    --------
    >>> decode_intent('Return', '{"endpoint": "gpu-1"}')
    Return(endpoint='gpu-1')
    """
    if kind not in _KINDS:
        raise ValueError(f'unknown kind of intent: {kind}')
    fields = json.loads(body)
    if fields.get('rank') is not None:
        fields['rank'] = _parse_rank(fields['rank'])
    if 'ranks' in fields:
        fields['ranks'] = tuple(map(_parse_rank, fields['ranks']))
    try:
        return _KINDS[kind](**fields)
    except TypeError as error:
        raise ValueError(str(error)) from error


def _parse_rank(name):
    try:
        return Rank[str(name).upper()]
    except KeyError:
        raise ValueError(f'unknown rank: {name}') from None
