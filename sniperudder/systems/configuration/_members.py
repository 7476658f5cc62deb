"""Changes of the configuration's members, made by the instances."""

from sniperudder.inputs import CommandArrived
from sniperudder.intents import Join
from sniperudder.intents import Leave
from sniperudder.systems.configuration import _acceptance
from sniperudder.systems.configuration import _commands
from sniperudder.systems.configuration import _freshness
from sniperudder.tables import CommandState

OPERATOR = 'sniperudder'
"""Operator recorded for changes that instances make on their own."""


def request_join(T, now):
    """Add this instance to the members once it is rooted."""
    if T.stopping or not T.rooted or T.me in T.config.members:
        return []
    own_record = T.instances.get(T.me)
    incarnation = own_record.incarnation if own_record else 0
    name = f'join-{T.me}-{incarnation}-{T.config.version}'
    return _submit_command(T, name, Join(T.me), now)


def remove_ended_member(T, now):
    """Remove one member that has ended.

    Only the live member with the smallest name does so, to avoid
    competing commands.
    """
    if not _is_lowest_live_member(T, now):
        return []
    for name in sorted(T.config.members):
        peer = T.instances.get(name)
        if peer and _acceptance.has_ended(T, peer, now):
            command = f'leave-{name}-{T.config.version}'
            return _submit_command(T, command, Leave(name), now)
    return []


def request_leave(T, now):
    """Remove this instance, which sends no new work, from the members.

    Parameters
    ----------
    T : sniperudder.tables.Tables
        Must be stopping.
    now : float
        Seconds.

    Returns
    -------
    list of effects
    """
    if T.me not in T.config.members:
        return []
    command = f'leave-{T.me}-{T.config.version}'
    return _submit_command(T, command, Leave(T.me), now)


def _is_lowest_live_member(T, now):
    if T.stopping or not _freshness.is_fresh(T, now):
        return False
    alive = [
        peer.name
        for peer in T.instances.values()
        if now - peer.heard_at <= T.policy.suspect_s
    ]
    return T.me in T.config.members and T.me <= min(alive, default=T.me)


def _submit_command(T, command, intent, now):
    is_pending = any(
        known.state is not CommandState.DONE and known.intent == intent
        for known in T.commands.values()
    )
    if is_pending or command in T.commands:
        return []
    inp = CommandArrived(command, OPERATOR, intent)
    return _commands.handle_command(T, inp, now)
