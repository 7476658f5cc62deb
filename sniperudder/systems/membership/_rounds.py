"""Whom to send the next heartbeats."""

from sniperudder.effects import SendBeat
from sniperudder.systems.membership import _beats
from sniperudder.systems.membership import _records
from sniperudder.tables import InstanceState

_MESH = 16
_FANOUT = 4
_FANOUT_PATIENCE = 2.0
_SILENT_SHARE = 0.25
_JITTER = 0.2


def send_beats(T, now):
    """Send a round of heartbeats when that is due."""
    if now < T.next_beats_at:
        return []
    pause = T.policy.heartbeat_s * (1 - _JITTER * T.rng.random())
    T.next_beats_at = now + pause
    peers = [
        peer
        for peer in T.instances.values()
        if peer.name != T.me and peer.address
    ]
    patience = 1.0 if len(peers) < _MESH else _FANOUT_PATIENCE
    _records.update_states(T, now, patience * T.policy.suspect_s)
    return [_send(T, peer, now) for peer in _choose(T, peers)]


def _choose(T, peers):
    peers = [peer for peer in peers if not peer.beat_pending]
    if len(peers) < _MESH:
        return peers
    heard = [peer for peer in peers if _is_heard(peer)]
    silent = [peer for peer in peers if not _is_heard(peer)]
    chosen = T.rng.sample(heard, min(_FANOUT, len(heard)))
    if silent and (not heard or T.rng.random() < _SILENT_SHARE):
        chosen.append(T.rng.choice(silent))
    return chosen


def _is_heard(peer):
    return peer.state in (InstanceState.LIVE, InstanceState.LEAVING)


def _send(T, peer, now):
    peer.beat_pending = True
    beat = _beats.create_request(T, peer, now)
    return SendBeat(peer.name, peer.address, beat)
