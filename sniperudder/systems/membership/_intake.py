"""Heartbeats received and answered."""

from sniperudder.effects import AnswerBeat
from sniperudder.inputs import Member
from sniperudder.systems import configuration
from sniperudder.systems.membership import _beats
from sniperudder.systems.membership import _digest
from sniperudder.systems.membership import _records
from sniperudder.systems.membership import _suspicions


def take_request(T, inp, now):
    """Take in a peer's heartbeat and answer it.

    It may have been under way for any time, so nothing in it counts as
    evidence of what holds now.
    """
    effects = _take_beat(T, inp.beat, now)
    answer = _beats.create_answer(T, inp.beat, now)
    return [*effects, AnswerBeat(inp.beat.sender, answer)]


def take_answer(T, inp, now):
    """Take in the answer to a heartbeat; it was made after the sending."""
    beat = inp.beat
    peer = _records.get_peer(T, beat.sender)
    peer.beat_pending = False
    if beat.incarnation < peer.incarnation:
        return []
    effects = _take_beat(T, beat, now)
    _records.note_evidence(peer, beat.config_version, beat.rooted, inp.sent_at)
    head_at = inp.sent_at - beat.head_age_s
    configuration.note_head(T, beat.head_version, head_at)
    peer.platform_at = inp.sent_at - beat.platform_age_s
    _digest.take_digest(T, beat, inp.sent_at, now)
    return effects


def take_loss(T, inp, now):
    """Take in that a heartbeat brought no answer."""
    peer = T.instances.get(inp.peer)
    if peer is not None:
        peer.beat_pending = False
    return []


def _take_beat(T, beat, now):
    if beat.sender == T.me:
        return []
    place = Member(
        beat.sender, beat.address, beat.data_centre, beat.incarnation
    )
    for member in (place, *beat.members):
        _records.note_place(T, member)
    peer = T.instances[beat.sender]
    if beat.incarnation == peer.incarnation:
        peer.stopping = peer.stopping or beat.stopping
        peer.streams = beat.streams
    _records.note_version(T, peer, beat.config_version, now)
    _suspicions.merge_suspicions(T, beat.suspicions, now)
    if beat.snapshot:
        configuration.adopt_snapshot(T, beat.snapshot, now)
    effects = configuration.offer_changes(T, beat.changes, now)
    configuration.note_accepted(T, beat.accepted_version, now)
    return effects
