"""Peers of an instance and the load that they report."""

import dataclasses

from sniperudder.digests import _records

# Time without a digest after which a peer's load is no longer counted.
# Either its requests ended with it, or their state is unknown.
_LOAD_EXPIRY_S = 1.5

# Time without a digest after which a peer is only probed occasionally.
_SILENT_AFTER_S = 10.0

# Interval between digests sent to a silent peer.
_PROBE_INTERVAL_S = 2.0

# Time without a digest after which a peer is considered permanently gone.
# Longer than any restart or outage that callers tolerate.
_REMOVE_AFTER_S = 600.0

_NO_LOAD = _records.Load(0, 0.0)


@dataclasses.dataclass(slots=True)
class Peer:
    """Another instance.

    Attributes
    ----------
    address : (str, int)
    digest : Digest or None
        Most recent digest; None before the first one and after expiry.
    heard_at : float
        Time of the last digest, or of the peer's discovery, seconds.
    sent_at : float
        Time at which a digest was last sent to the peer, seconds.
    """

    address: tuple
    digest: _records.Digest | None = None
    heard_at: float = 0.0
    sent_at: float = 0.0


class PeerTable:
    """The peers of an instance and the sum of their loads.

    Attributes
    ----------
    peers : dict of str to Peer
        Peers by instance name.
    """

    __slots__ = ('_total_loads', 'peers')

    def __init__(self):
        self.peers = {}
        self._total_loads = {}

    def add_peer(self, name, address, now):
        """Add a peer from the platform's list, or update its address."""
        peer = self.peers.get(name)
        if peer is None or peer.address != address:
            self.peers[name] = Peer(address, heard_at=now)

    def record_digest(self, digest, address, now):
        """Store a digest unless it is older than the stored one.

        Returns
        -------
        bool
            Whether the digest was stored.
        """
        peer = self.peers.get(digest.sender)
        if peer is None:
            peer = self.peers[digest.sender] = Peer(address)
        previous = peer.digest
        if previous is not None:
            version = digest.incarnation, digest.sequence
            if version <= (previous.incarnation, previous.sequence):
                return False
            self._add_loads(previous, -1)
        peer.address = address
        peer.digest = digest
        peer.heard_at = now
        self._add_loads(digest, 1)
        return True

    def expire_loads(self, now):
        """Discard the loads of peers that stopped sending digests.

        Returns
        -------
        list of str
            Names of the peers whose load expired.
        """
        silent = []
        for name, peer in self.peers.items():
            if (
                peer.digest is not None
                and now - peer.heard_at > _LOAD_EXPIRY_S
            ):
                self._add_loads(peer.digest, -1)
                peer.digest = None
                silent.append(name)
        return silent

    def list_gone_peers(self, now):
        """Return the names of the permanently gone peers."""
        return [
            name
            for name, peer in self.peers.items()
            if now - peer.heard_at > _REMOVE_AFTER_S
        ]

    def remove_peer(self, name):
        """Remove a peer and its load."""
        peer = self.peers.pop(name)
        if peer.digest is not None:
            self._add_loads(peer.digest, -1)

    def get_load(self, endpoint):
        """Return the load that all peers together put on an endpoint.

        Parameters
        ----------
        endpoint : str
            Endpoint id.

        Returns
        -------
        Load
        """
        return self._total_loads.get(endpoint, _NO_LOAD)

    def count_alive(self):
        """Return the number of live instances, including this one."""
        alive = (peer.digest is not None for peer in self.peers.values())
        return 1 + sum(alive)

    def count_events(self):
        """Return the peers' events and slow events of the last second."""
        live_digests = [p.digest for p in self.peers.values() if p.digest]
        return (
            sum(digest.events for digest in live_digests),
            sum(digest.slow_events for digest in live_digests),
        )

    def get_crossing_rate(self, pair):
        """Return the peers' token rate between two data centres.

        Parameters
        ----------
        pair : (str, str)
            The two data centres.

        Returns
        -------
        float
            Tokens per second.
        """
        return sum(
            peer.digest.crossings.get(pair, 0.0)
            for peer in self.peers.values()
            if peer.digest is not None
        )

    def list_due_addresses(self, now):
        """Return the addresses to which the next digest is sent."""
        due = []
        for peer in self.peers.values():
            silent = now - peer.heard_at > _SILENT_AFTER_S
            if not silent or now - peer.sent_at > _PROBE_INTERVAL_S:
                peer.sent_at = now
                due.append(peer.address)
        return due

    def _add_loads(self, digest, sign):
        for name, load in digest.loads.items():
            total = self._total_loads.get(name, _NO_LOAD)
            requests = total.requests + sign * load.requests
            if requests <= 0:
                self._total_loads.pop(name, None)
                continue
            self._total_loads[name] = _records.Load(
                requests,
                max(total.token_layers + sign * load.token_layers, 0.0),
            )
