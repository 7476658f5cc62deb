"""Handlers of heartbeats and of their answers."""

from sniperudder.effects import AnswerHeartbeat
from sniperudder.inputs import Member
from sniperudder.systems import configuration
from sniperudder.systems.membership import _digest
from sniperudder.systems.membership import _heartbeats
from sniperudder.systems.membership import _records
from sniperudder.systems.membership import _suspicions


def handle_heartbeat(T, inp, now):
    """Process a peer's heartbeat and answer it.

    It may have been delayed for any length of time, so nothing in it
    counts as evidence of the peer's present state.
    """
    effects = _apply_heartbeat(T, inp.beat, now)
    answer = _heartbeats.create_answer(T, inp.beat, now)
    return [*effects, AnswerHeartbeat(inp.beat.sender, answer)]


def handle_heartbeat_answer(T, inp, now):
    """Process the answer to a heartbeat.

    The answer was created after the heartbeat was sent, so its evidence
    is dated to the time of sending.
    """
    beat = inp.beat
    peer = _records.get_peer(T, beat.sender)
    peer.beat_pending = False
    if beat.incarnation < peer.incarnation:
        return []
    effects = _apply_heartbeat(T, beat, now)
    _records.record_evidence(
        peer, beat.config_version, beat.rooted, inp.sent_at
    )
    head_at = inp.sent_at - beat.head_age_s
    configuration.record_head(T, beat.head_version, head_at)
    peer.platform_at = inp.sent_at - beat.platform_age_s
    _digest.apply_digest(T, beat, inp.sent_at, now)
    return effects


def handle_heartbeat_loss(T, inp, now):
    """Process the loss of a heartbeat or of its answer."""
    peer = T.instances.get(inp.peer)
    if peer is not None:
        peer.beat_pending = False
    return []


def _apply_heartbeat(T, beat, now):
    if beat.sender == T.me:
        return []
    sending_member = Member(
        beat.sender, beat.address, beat.data_centre, beat.incarnation
    )
    for member in (sending_member, *beat.members):
        _records.record_address(T, member)
    peer = T.instances[beat.sender]
    if beat.incarnation == peer.incarnation:
        peer.stopping = peer.stopping or beat.stopping
        peer.streams = beat.streams
    _records.record_acked_version(T, peer, beat.config_version, now)
    _suspicions.merge_suspicions(T, beat.suspicions, now)
    if beat.snapshot:
        configuration.install_snapshot(T, beat.snapshot, now)
    effects = configuration.apply_changes(T, beat.changes, now)
    configuration.record_accepted(T, beat.accepted_version, now)
    return effects
