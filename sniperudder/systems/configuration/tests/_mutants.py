"""Mutants of the systems, each of which breaks a guarantee."""

import contextlib
import dataclasses
from unittest import mock

from sniperudder import inputs
from sniperudder.systems import configuration
from sniperudder.systems.configuration import _acceptance
from sniperudder.systems.configuration import _commands
from sniperudder.systems.configuration import _freshness
from sniperudder.systems.configuration import _purposes
from sniperudder.systems import membership
from sniperudder.systems.membership import _records


@contextlib.contextmanager
def confirm_without_platform():
    """Confirm the configuration whenever the platform does not answer."""

    def confirm(T, now):
        if now - T.platform_at > T.policy.freshness_s:
            T.confirmed_at = now

    with mock.patch.object(configuration, 'confirm_by_majority', confirm):
        yield


@contextlib.contextmanager
def count_majority_of_recent_peers():
    """Count the majority of recently heard peers instead of members."""

    def confirm(T, now):
        version = T.config.version
        times = [
            peer.heard_at
            for peer in T.instances.values()
            if peer.name != T.me
            and peer.config_version <= version
            and now - peer.heard_at < 5.0
        ]
        times = sorted([now, *times], reverse=True)
        T.confirmed_at = max(T.confirmed_at, times[len(times) // 2])

    with mock.patch.object(configuration, 'confirm_by_majority', confirm):
        yield


@contextlib.contextmanager
def timestamp_answers_at_receipt():
    """Date an answer to its receipt instead of its request's sending."""
    handlers = membership.HANDLERS
    real = handlers[inputs.HeartbeatReturned]

    def handle(T, inp, now):
        return real(T, dataclasses.replace(inp, sent_at=now), now)

    with mock.patch.dict(handlers, {inputs.HeartbeatReturned: handle}):
        yield


@contextlib.contextmanager
def timestamp_heads_at_receipt():
    """Date a read of the head to its receipt instead of its sending."""
    purposes = configuration.PURPOSES
    real = purposes[_purposes.PollHead]

    def handle(T, inp, now):
        return real(T, dataclasses.replace(inp, sent_at=now), now)

    with mock.patch.dict(purposes, {_purposes.PollHead: handle}):
        yield


@contextlib.contextmanager
def accept_by_latest_roster():
    """Count only the latest roster, not older ones that others still use."""

    def list_rosters(T, version):
        return T.rosters[-1:]

    with mock.patch.object(_acceptance, '_list_rosters', list_rosters):
        yield


@contextlib.contextmanager
def accept_by_half():
    """Count half of the members as a majority."""

    def find(T, roster, now):
        acks = [
            _acceptance._find_acked_version(T, m, now) for m in roster.members
        ]
        acks.sort(reverse=True)
        return acks[(len(acks) - 1) // 2 - 1]

    with mock.patch.object(_acceptance, '_find_majority_version', find):
        yield


@contextlib.contextmanager
def accept_at_commit():
    """Report a command as accepted as soon as it is committed."""

    def accept(T, now):
        configuration.record_accepted(T, T.config.version, now)

    with mock.patch.object(_acceptance, 'update_acceptance', accept):
        yield


@contextlib.contextmanager
def trust_restarted_members():
    """Count members that have not read the platform since their start."""
    real = _records.record_evidence

    def record(peer, version, rooted, at):
        real(peer, version, True, at)

    with mock.patch.object(_records, 'record_evidence', record):
        yield


@contextlib.contextmanager
def trust_paused_members():
    """Count a member as evidence immediately after a long pause."""

    def is_rooted(T, now):
        return T.rooted

    def record_tick(T, now):
        T.started_at = now if T.started_at is None else T.started_at

    with (
        mock.patch.object(configuration, 'is_rooted', is_rooted),
        mock.patch.object(_freshness, 'is_rooted', is_rooted),
        mock.patch.object(_freshness, 'record_tick', record_tick),
    ):
        yield


@contextlib.contextmanager
def ignore_versions():
    """Count a member as evidence regardless of its version."""

    def list_times(T, members, now):
        for name in members:
            peer = T.instances.get(name)
            if name == T.me:
                yield now
            elif peer:
                yield peer.heard_at

    with mock.patch.object(_freshness, '_list_evidence_times', list_times):
        yield


@contextlib.contextmanager
def retry_unconditionally():
    """Commit again after a lost answer without checking the first commit."""
    real = _commands._commit

    def commit(T, command):
        (call,) = real(T, command)
        conditions = call.conditions[:1]
        return [dataclasses.replace(call, conditions=conditions)]

    def resolve(T):
        return []

    with (
        mock.patch.object(_commands, '_commit', commit),
        mock.patch.object(_commands, '_resolve_from_history', resolve),
    ):
        yield
