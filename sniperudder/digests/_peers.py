"""The peers of an instance, and what they have in flight."""

import dataclasses

from sniperudder.digests import _records

# Time without a digest after which a peer's load no longer counts,
# seconds: its requests ended with it, or nothing is known of them.
_FRESH_S = 1.5

# Time without a digest after which a peer is only tried now and then.
_QUIET_S = 10.0

# Seconds between two digests to a quiet peer.
_TRY_S = 2.0

# Time without a digest after which a peer is taken to be gone for good,
# seconds: longer than any restart or outage that callers live through.
_GONE_S = 600.0

_NOTHING = _records.Load(0, 0.0)


@dataclasses.dataclass(slots=True)
class Peer:
    """Another instance.

    Attributes
    ----------
    address : (str, int)
    digest : Digest or None
        The newest one.
    heard_at : float
        When it came, or when the peer became known, seconds.
    sent_at : float
        When a digest was last sent to it, seconds.
    """

    address: tuple
    digest: _records.Digest | None = None
    heard_at: float = 0.0
    sent_at: float = 0.0


class PeerTable:
    """All peers by name.

    Attributes
    ----------
    peers : dict of str to Peer
    """

    __slots__ = ('_totals', 'peers')

    def __init__(self):
        self.peers = {}
        self._totals = {}

    def add_peer(self, name, address, now):
        """Take in a peer from the platform's list, or its new address."""
        peer = self.peers.get(name)
        if peer is None or peer.address != address:
            self.peers[name] = Peer(address, heard_at=now)

    def record_digest(self, digest, address, now):
        """Keep a digest, unless a newer one is known.

        Returns
        -------
        bool
            Whether it was kept.
        """
        peer = self.peers.get(digest.sender)
        if peer is None:
            peer = self.peers[digest.sender] = Peer(address)
        known = peer.digest
        if known is not None:
            order = digest.incarnation, digest.sequence
            if order <= (known.incarnation, known.sequence):
                return False
            self._count(known, -1)
        peer.address = address
        peer.digest = digest
        peer.heard_at = now
        self._count(digest, 1)
        return True

    def drop_silent(self, now):
        """Take out the loads of peers that fell silent.

        Returns
        -------
        list of str
            Their names.
        """
        silent = []
        for name, peer in self.peers.items():
            if peer.digest is not None and now - peer.heard_at > _FRESH_S:
                self._count(peer.digest, -1)
                peer.digest = None
                silent.append(name)
        return silent

    def list_gone(self, now):
        """Return the names of the peers that are gone for good."""
        return [
            name
            for name, peer in self.peers.items()
            if now - peer.heard_at > _GONE_S
        ]

    def forget(self, name):
        """Drop a peer that is gone."""
        peer = self.peers.pop(name)
        if peer.digest is not None:
            self._count(peer.digest, -1)

    def get_load(self, endpoint):
        """Return what all peers have in flight at an endpoint.

        Parameters
        ----------
        endpoint : str
            Its id.

        Returns
        -------
        Load
        """
        return self._totals.get(endpoint, _NOTHING)

    def count_alive(self):
        """Return the number of instances that are heard, with this one."""
        heard = (peer.digest is not None for peer in self.peers.values())
        return 1 + sum(heard)

    def count_events(self):
        """Return the peers' events of the last second, and slow ones."""
        heard = [p.digest for p in self.peers.values() if p.digest]
        return (
            sum(digest.events for digest in heard),
            sum(digest.slow_events for digest in heard),
        )

    def get_crossing_rate(self, pair):
        """Return the peers' tokens a second between two data centres."""
        return sum(
            peer.digest.crossings.get(pair, 0.0)
            for peer in self.peers.values()
            if peer.digest is not None
        )

    def list_due(self, now):
        """Return the addresses that the next digest goes to."""
        due = []
        for peer in self.peers.values():
            quiet = now - peer.heard_at > _QUIET_S
            if not quiet or now - peer.sent_at > _TRY_S:
                peer.sent_at = now
                due.append(peer.address)
        return due

    def _count(self, digest, sign):
        for name, load in digest.loads.items():
            total = self._totals.get(name, _NOTHING)
            requests = total.requests + sign * load.requests
            if requests <= 0:
                self._totals.pop(name, None)
                continue
            self._totals[name] = _records.Load(
                requests,
                max(total.token_layers + sign * load.token_layers, 0.0),
            )
