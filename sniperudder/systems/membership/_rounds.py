"""Rounds of heartbeats: full mesh in small fleets, gossip in large ones."""

from sniperudder.effects import SendHeartbeat
from sniperudder.systems.membership import _heartbeats
from sniperudder.systems.membership import _records
from sniperudder.tables import InstanceState

_MIN_GOSSIP_PEERS = 16
_FANOUT = 4
_GOSSIP_SUSPECT_FACTOR = 2.0
_SILENT_PEER_PROBABILITY = 0.25
_JITTER = 0.2


def send_heartbeats(T, now):
    """Send a round of heartbeats when it is due.

    With fewer than ``_MIN_GOSSIP_PEERS`` peers, each gets one per round.
    Otherwise a few random live peers and sometimes one silent peer do,
    so a peer is suspected only after a longer silence.
    """
    if now < T.next_beats_at:
        return []
    interval_s = T.policy.heartbeat_s * (1 - _JITTER * T.rng.random())
    T.next_beats_at = now + interval_s
    peers = [
        peer
        for peer in T.instances.values()
        if peer.name != T.me and peer.address
    ]
    suspect_factor = (
        1.0 if len(peers) < _MIN_GOSSIP_PEERS else _GOSSIP_SUSPECT_FACTOR
    )
    _records.update_states(T, now, suspect_factor * T.policy.suspect_s)
    return [_create_effect(T, peer, now) for peer in _choose_peers(T, peers)]


def _choose_peers(T, peers):
    peers = [peer for peer in peers if not peer.beat_pending]
    if len(peers) < _MIN_GOSSIP_PEERS:
        return peers
    alive = [peer for peer in peers if _is_alive(peer)]
    silent = [peer for peer in peers if not _is_alive(peer)]
    chosen = T.rng.sample(alive, min(_FANOUT, len(alive)))
    if silent and (not alive or T.rng.random() < _SILENT_PEER_PROBABILITY):
        chosen.append(T.rng.choice(silent))
    return chosen


def _is_alive(peer):
    return peer.state in (InstanceState.LIVE, InstanceState.LEAVING)


def _create_effect(T, peer, now):
    peer.beat_pending = True
    beat = _heartbeats.create_heartbeat(T, peer, now)
    return SendHeartbeat(peer.name, peer.address, beat)
