"""Instances enter themselves into the configuration's members."""

from sniperudder.inputs import CommandArrived
from sniperudder.intents import Join
from sniperudder.intents import Leave
from sniperudder.systems.configuration import _acceptance
from sniperudder.systems.configuration import _commands
from sniperudder.systems.configuration import _freshness
from sniperudder.tables import CommandState

OPERATOR = 'sniperudder'
"""Author of the changes that instances make on their own."""


def join_members(T, now):
    """Enter this instance once it has read the platform."""
    if T.stopping or not T.rooted or T.me in T.config.members:
        return []
    own = T.instances.get(T.me)
    incarnation = own.incarnation if own else 0
    name = f'join-{T.me}-{incarnation}-{T.config.version}'
    return _give(T, name, Join(T.me), now)


def drop_members(T, now):
    """Take out members that have ended; one instance does it."""
    if not _is_first(T, now):
        return []
    for name in sorted(T.config.members):
        peer = T.instances.get(name)
        if peer and _acceptance.has_ended(T, peer, now):
            command = f'leave-{name}-{T.config.version}'
            return _give(T, command, Leave(name), now)
    return []


def leave_members(T, now):
    """Take out this instance, which gives out no work any more.

    Parameters
    ----------
    T : sniperudder.tables.Tables
        Must be stopping.
    now : float

    Returns
    -------
    list of effects
    """
    if T.me not in T.config.members:
        return []
    command = f'leave-{T.me}-{T.config.version}'
    return _give(T, command, Leave(T.me), now)


def _is_first(T, now):
    if T.stopping or not _freshness.is_fresh(T, now):
        return False
    alive = [
        peer.name
        for peer in T.instances.values()
        if now - peer.heard_at <= T.policy.suspect_s
    ]
    return T.me in T.config.members and T.me <= min(alive, default=T.me)


def _give(T, command, intent, now):
    subject_busy = any(
        given.state is not CommandState.DONE and given.intent == intent
        for given in T.commands.values()
    )
    if subject_busy or command in T.commands:
        return []
    inp = CommandArrived(command, OPERATOR, intent)
    return _commands.take_command(T, inp, now)
