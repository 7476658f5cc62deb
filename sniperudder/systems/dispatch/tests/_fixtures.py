"""Fixtures: a home with a fast and a slow chain, and slot requests."""

from sniperudder import effects
from sniperudder import messages
from sniperudder.systems.dispatch import _homes
from sniperudder import tables

LAYERS = 8
STEPS_S = {'fast': 0.03, 'slow': 0.12}


def create_home(streams=2):
    """Return the tables of a home with a fast and a slow chain."""
    T = tables.create_tables('home', 'dc', 1)
    T.models['m'] = tables.Model('m', LAYERS)
    T.instances['entry'] = tables.Instance(
        'entry', 'h:1', 'dc', state=tables.InstanceState.LIVE
    )
    for kind, step_s in STEPS_S.items():
        for first in (0, 4):
            ep = tables.Endpoint(
                f'{kind}-{first}',
                'h:1',
                'dc',
                kind,
                'm',
                '1',
                first,
                first + 4,
                streams,
            )
            ep.step_s = step_s
            T.endpoints[ep.name] = ep
    return T


def make_ask(name, rank, org='studio', max_wait_s=2.0, work=30.0):
    """Return a slot request."""
    return messages.AskSlot(
        request=name,
        attempt=1,
        organisation=org,
        rank=rank,
        model='m',
        work=work,
        fingerprint=name,
        max_wait_s=max_wait_s,
    )


def ask_home(T, now, *asks):
    """Return the messages sent in reply to slot requests."""
    result = []
    for ask in asks:
        result.extend(_homes.handle_ask(T, 'entry', ask, now))
    return [
        e.message for e in result if isinstance(e, effects.SendSlotMessage)
    ]


def release_slot(T, name, now, used=30.0):
    """Return the messages sent after the release of a slot."""
    release = messages.ReleaseSlot(name, 1, used, ())
    result = _homes.handle_release(T, 'entry', release, now)
    return [
        e.message for e in result if isinstance(e, effects.SendSlotMessage)
    ]


def filter_messages(replies, message_type):
    """Return the messages of one class."""
    return [
        message for message in replies if isinstance(message, message_type)
    ]
