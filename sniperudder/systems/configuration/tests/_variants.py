"""Naive variants of the systems, each of which breaks a promise."""

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
def go_on_without_platform():
    """Take a silent platform for permission to go on."""

    def confirm(T, now):
        if now - T.platform_at > T.policy.freshness_s:
            T.confirmed_at = now

    with mock.patch.object(configuration, 'confirm_by_majority', confirm):
        yield


@contextlib.contextmanager
def count_those_heard():
    """Take the majority of the peers heard lately, not of the members."""

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
def date_beats_at_receipt():
    """Take an answer for what holds when it arrives."""
    handlers = membership.HANDLERS
    real = handlers[inputs.BeatReturned]

    def take(T, inp, now):
        return real(T, dataclasses.replace(inp, sent_at=now), now)

    with mock.patch.dict(handlers, {inputs.BeatReturned: take}):
        yield


@contextlib.contextmanager
def date_heads_at_receipt():
    """Take a reading of the head for what holds when it arrives."""
    purposes = configuration.PURPOSES
    real = purposes[_purposes.PollHead]

    def take(T, inp, now):
        return real(T, dataclasses.replace(inp, sent_at=now), now)

    with mock.patch.dict(purposes, {_purposes.PollHead: take}):
        yield


@contextlib.contextmanager
def accept_by_latest_roster():
    """Ask only the latest members, not those that others still use."""

    def list_rosters(T, version):
        return T.rosters[-1:]

    with mock.patch.object(_acceptance, '_list_rosters', list_rosters):
        yield


@contextlib.contextmanager
def accept_by_half():
    """Take half of the members for a majority."""

    def find(T, roster, now):
        acks = [_acceptance._find_ack(T, m, now) for m in roster.members]
        acks.sort(reverse=True)
        return acks[(len(acks) - 1) // 2 - 1]

    with mock.patch.object(_acceptance, '_find_majority', find):
        yield


@contextlib.contextmanager
def accept_at_commit():
    """Tell that a command holds as soon as it is committed."""

    def accept(T, now):
        configuration.note_accepted(T, T.config.version, now)

    with mock.patch.object(_acceptance, 'update_acceptance', accept):
        yield


@contextlib.contextmanager
def trust_restarted():
    """Let a member that knows nothing yet count as evidence."""
    real = _records.note_evidence

    def note(peer, version, rooted, at):
        real(peer, version, True, at)

    with mock.patch.object(_records, 'note_evidence', note):
        yield


@contextlib.contextmanager
def trust_paused():
    """Let a member count as evidence right after a long pause."""

    def is_rooted(T, now):
        return T.rooted

    def note_tick(T, now):
        T.started_at = now if T.started_at is None else T.started_at

    with (
        mock.patch.object(configuration, 'is_rooted', is_rooted),
        mock.patch.object(_freshness, 'is_rooted', is_rooted),
        mock.patch.object(_freshness, 'note_tick', note_tick),
    ):
        yield


@contextlib.contextmanager
def ignore_versions():
    """Let a member count as evidence whatever version it has."""

    def listed(T, members, now):
        for name in members:
            peer = T.instances.get(name)
            if name == T.me:
                yield now
            elif peer:
                yield peer.heard_at

    with mock.patch.object(_freshness, '_list_evidence', listed):
        yield


@contextlib.contextmanager
def retry_blindly():
    """Commit again after a lost answer, whatever became of the first."""
    real = _commands._commit

    def commit(T, command):
        (call,) = real(T, command)
        conditions = call.conditions[:1]
        return [dataclasses.replace(call, conditions=conditions)]

    def settle(T):
        return []

    with (
        mock.patch.object(_commands, '_commit', commit),
        mock.patch.object(_commands, '_settle_from_history', settle),
    ):
        yield
