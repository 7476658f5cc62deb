"""Verification that a command was committed and is in force."""

import dataclasses
import typing

from sniperudder import intents
from sniperudder.outcomes import CommittedAt
from sniperudder.systems.configuration import _acceptance
from sniperudder.tables import Change


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceStatus:
    """Whether a command is in force at one instance.

    Attributes
    ----------
    instance : str
    version : int
        Highest version that the instance is known to have in force.
    since : float
        When that became known, seconds on this instance's clock.
    in_force : bool
        Whether the command is in force there.
    reason : str
        Why the command is not in force; empty if it is.
    """

    instance: str
    version: int
    since: float
    in_force: bool
    reason: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Verification:
    """What this instance knows about a command.

    Attributes
    ----------
    command : str
        Identifier.
    outcome : CommandOutcome or None
        None if this instance does not know the command.
    change : Change or None
        The committed change; None if nothing was committed.
    superseded_by : Change or None
        The first later change of the same subject.
    accepted : bool
        Whether it is accepted. An instance without the change then
        sends new work for no longer than ``freshness_s``.
    in_force_everywhere : bool
        Whether it is accepted and each instance either has it in force
        or sends no new work.
    statuses : tuple of InstanceStatus
    """

    command: str
    outcome: typing.Any
    change: Change | None = None
    superseded_by: Change | None = None
    accepted: bool = False
    in_force_everywhere: bool = False
    statuses: tuple = ()


def verify_command(T, command, now):
    """Return what this instance knows about a command.

    Parameters
    ----------
    T : sniperudder.tables.Tables
    command : str
        Identifier.
    now : float
        Seconds.

    Returns
    -------
    Verification
    """
    change = _find_change(T, command)
    if change is None:
        known = T.commands.get(command)
        return Verification(command, known.outcome if known else None)
    version = change.version
    accepted_at = _acceptance.get_accepted_at(T, version)
    expired = accepted_at is not None and _has_expired(T, accepted_at, now)
    statuses = tuple(_list_instance_statuses(T, version, expired, now))
    all_in_force = all(status.in_force for status in statuses)
    return Verification(
        command=command,
        outcome=CommittedAt(version),
        change=change,
        superseded_by=_find_superseding_change(T, change),
        accepted=accepted_at is not None,
        in_force_everywhere=accepted_at is not None
        and (all_in_force or expired),
        statuses=statuses,
    )


def _has_expired(T, accepted_at, now):
    return now - accepted_at > T.policy.freshness_s


def _find_change(T, command):
    for change in reversed(T.changes):
        if change.command_id == command:
            return change
    return None


def _find_superseding_change(T, change):
    subject = _get_subject(change)
    for later in T.changes:
        if later.version > change.version and _get_subject(later) == subject:
            return later
    return None


def _get_subject(change):
    intent = intents.decode_intent(change.kind, change.body)
    return intents.get_subject(intent)


def _list_instance_statuses(T, version, expired, now):
    names = (T.config.members | set(T.instances)) - T.config.ended
    for name in sorted(names):
        if name == T.me:
            # A version installed by a snapshot has no time of its own;
            # it is dated to the start of this instance.
            since = T.applied_at.get(version, T.started_at)
            yield InstanceStatus(name, T.config.version, since, True)
            continue
        peer = T.instances.get(name)
        if peer is None:
            yield InstanceStatus(
                name, 0, 0.0, False, _format_reason(None, expired, now)
            )
        elif not _acceptance.has_ended(T, peer, now):
            in_force = peer.acked_version >= version
            reason = '' if in_force else _format_reason(peer, expired, now)
            peer_version = peer.acked_version
            yield InstanceStatus(
                name, peer_version, peer.acked_at, in_force, reason
            )


def _format_reason(peer, expired, now):
    if peer is None or peer.heard_at == float('-inf'):
        reason = 'never heard'
    else:
        reason = f'last heard {now - peer.heard_at:.1f} s ago'
    if expired:
        reason += '; gives out no new work until it has the change'
    return reason
