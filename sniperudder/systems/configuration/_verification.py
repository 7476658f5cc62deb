"""Evidence of what became of a command."""

import dataclasses
import typing

from sniperudder import intents
from sniperudder.outcomes import CommittedAt
from sniperudder.systems.configuration import _acceptance
from sniperudder.tables import Change


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """What is known of one instance.

    Attributes
    ----------
    instance : str
    version : int
        Version that it was last heard to have in force.
    since : float
        When that was first heard, seconds on this instance's clock.
    in_force : bool
        Whether the command is in force there.
    reason : str
        Why it is not; empty where it is.
    """

    instance: str
    version: int
    since: float
    in_force: bool
    reason: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Verification:
    """What is known of a command.

    Attributes
    ----------
    command : str
    outcome : CommandOutcome or None
        None where this instance does not know the command.
    change : Change or None
        Who changed what when; None where nothing was committed.
    superseded_by : Change or None
        The first later change of the same subject.
    accepted : bool
        Whether it holds from now on: no instance goes on for longer
        than the freshness without it.
    in_force_everywhere : bool
        Whether each instance has it in force or gives out no work.
    places : tuple of Place
    """

    command: str
    outcome: typing.Any
    change: Change | None = None
    superseded_by: Change | None = None
    accepted: bool = False
    in_force_everywhere: bool = False
    places: tuple = ()


def verify_intent(T, command, now):
    """Return the evidence of what became of a command.

    Parameters
    ----------
    T : sniperudder.tables.Tables
    command : str
        Identifier.
    now : float

    Returns
    -------
    Verification
    """
    change = _find_change(T, command)
    if change is None:
        known = T.commands.get(command)
        return Verification(command, known.outcome if known else None)
    version = change.version
    accepted_at = _acceptance.find_accepted_at(T, version)
    lapsed = accepted_at is not None and _has_lapsed(T, accepted_at, now)
    places = tuple(_list_places(T, version, lapsed, now))
    everywhere = all(place.in_force for place in places)
    return Verification(
        command=command,
        outcome=CommittedAt(version),
        change=change,
        superseded_by=_find_successor(T, change),
        accepted=accepted_at is not None,
        in_force_everywhere=accepted_at is not None and (everywhere or lapsed),
        places=places,
    )


def _has_lapsed(T, accepted_at, now):
    return now - accepted_at > T.policy.freshness_s


def _find_change(T, command):
    for change in reversed(T.changes):
        if change.command_id == command:
            return change
    return None


def _find_successor(T, change):
    subject = _get_subject(change)
    for later in T.changes:
        if later.version > change.version and _get_subject(later) == subject:
            return later
    return None


def _get_subject(change):
    intent = intents.decode_intent(change.kind, change.body)
    return intents.get_subject(intent)


def _list_places(T, version, lapsed, now):
    names = (T.config.members | set(T.instances)) - T.config.ended
    for name in sorted(names):
        if name == T.me:
            # What a snapshot brought was in force from the start.
            since = T.applied_at.get(version, T.started_at)
            yield Place(name, T.config.version, since, True)
            continue
        peer = T.instances.get(name)
        if peer is None:
            yield Place(name, 0, 0.0, False, _explain(None, lapsed, now))
        elif not _acceptance.has_ended(T, peer, now):
            in_force = peer.acked_version >= version
            reason = '' if in_force else _explain(peer, lapsed, now)
            acked = peer.acked_version
            yield Place(name, acked, peer.acked_at, in_force, reason)


def _explain(peer, lapsed, now):
    if peer is None or peer.heard_at == float('-inf'):
        reason = 'never heard'
    else:
        reason = f'last heard {now - peer.heard_at:.1f} s ago'
    if lapsed:
        reason += '; gives out no new work until it has the change'
    return reason
