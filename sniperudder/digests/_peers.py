"""Peers of an instance and the load that they report."""

import dataclasses

from sniperudder.digests import _records
from sniperudder.digests import _speeds
from sniperudder.digests import _trends

# Time without a digest after which a peer's load is no longer counted.
# Either its requests ended with it, or their state is unknown.
_LOAD_EXPIRY_S = 1.5

# Time without a digest after which others may use a peer's part of what all
# instances share, seconds. A peer that was suspended for as long has lost its
# part by then; see `sniperudder.routing.update_quotas`.
_TAKEOVER_S = 5.0

# Time without a digest after which a peer is only probed occasionally.
_SILENT_AFTER_S = 10.0

# Interval between digests sent to a silent peer.
_PROBE_INTERVAL_S = 2.0

# Time without a digest after which a peer is considered permanently gone.
# Longer than any restart or outage that callers tolerate.
REMOVE_AFTER_S = 600.0

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
    data_centre : str
        Empty if it is not known.
    demands : dict of str to float
        Requests per second by service, as it last told.
    """

    address: tuple
    digest: _records.Digest | None = None
    heard_at: float = 0.0
    sent_at: float = 0.0
    data_centre: str = ''
    demands: dict = dataclasses.field(default_factory=dict)


class PeerTable:
    """The peers of an instance and the sum of their loads.

    Attributes
    ----------
    peers : dict of str to Peer
        Peers by instance name.
    """

    __slots__ = ('_summary', '_summary_at', '_total_loads', '_trend', 'peers')

    def __init__(self):
        self.peers = {}
        self._total_loads = {}
        # Sum of the digests of all peers, received from one of them. While
        # there is one, it counts instead of the single digests.
        self._summary = None
        self._summary_at = 0.0
        self._trend = _trends.LoadTrend()

    def add_peer(self, name, address, now, data_centre=''):
        """Add a peer from the platform's list, or update its address."""
        peer = self.peers.get(name)
        if peer is None:
            peer = self.peers[name] = Peer(address, heard_at=now)
        elif peer.address != address:
            self.remove_peer(name)
            peer = self.peers[name] = Peer(address, heard_at=now)
        peer.data_centre = data_centre

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
            peer.data_centre = digest.data_centre
        previous = peer.digest
        if previous is not None:
            version = digest.incarnation, digest.sequence
            if version <= (previous.incarnation, previous.sequence):
                return False
            self._add_loads(previous, -1)
        if digest.scope is _records.Scope.DATA_CENTRE:
            self._drop_other_sums(digest)
        peer.address = address
        peer.digest = digest
        peer.heard_at = now
        if digest.scope is _records.Scope.INSTANCE:
            peer.demands = digest.demands
        self._add_loads(digest, 1)
        return True

    def record_summary(self, summary, now):
        """Store the sum of the digests of all peers."""
        self._summary = summary
        self._summary_at = now
        self._trend.record(summary.loads, now)

    def drop_summary(self):
        """Count the single digests again."""
        self._summary = None
        self._trend.clear()

    def list_digests(self, now, data_centre):
        """Return the digests to add to the sum of a data centre.

        Parameters
        ----------
        now : float
            Seconds.
        data_centre : str

        Returns
        -------
        local, remote : list of (Digest, float)
            Digests of members of the data centre and sums of other data
            centres, each with its age in seconds.
        """
        local, remote = [], []
        for peer in self.peers.values():
            if peer.digest is None:
                continue
            entry = peer.digest, now - peer.heard_at
            if peer.digest.scope is _records.Scope.DATA_CENTRE:
                if peer.data_centre != data_centre:
                    remote.append(entry)
            elif peer.data_centre == data_centre:
                local.append(entry)
        return local, remote

    def list_summing_peers(self):
        """Return the peer that sends the sum of each other data centre.

        Returns
        -------
        dict of str to Peer
            By data centre; those without a current sum are missing.
        """
        return {
            peer.data_centre: peer
            for peer in self.peers.values()
            if peer.digest is not None
            and peer.digest.scope is _records.Scope.DATA_CENTRE
        }

    def expire_loads(self, now):
        """Discard the loads of peers that stopped sending digests.

        Returns
        -------
        list of str
            Names of the peers whose load expired.
        """
        silent = []
        if now - self._summary_at > _LOAD_EXPIRY_S:
            self.drop_summary()
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
            if now - peer.heard_at > REMOVE_AFTER_S
        ]

    def list_sharing_peers(self, now):
        """Return the peers that may use what all instances share.

        Peers that have been silent for long are left out if most instances
        are heard. In a fleet that is split, at most one part takes over what
        the others used.

        Parameters
        ----------
        now : float
            Seconds.

        Returns
        -------
        dict of str to Peer
        """
        heard = {
            name: peer
            for name, peer in self.peers.items()
            if now - peer.heard_at <= _TAKEOVER_S
        }
        if 2 * (1 + len(heard)) > 1 + len(self.peers):
            return heard
        return dict(self.peers)

    def remove_peer(self, name):
        """Remove a peer and its load."""
        peer = self.peers.pop(name)
        if peer.digest is not None:
            self._add_loads(peer.digest, -1)

    def get_load(self, endpoint):
        """Return the load that all peers together put on an endpoint.

        Loads of a sum are extrapolated to the present.

        Parameters
        ----------
        endpoint : str
            Endpoint id.

        Returns
        -------
        Load
        """
        if self._summary is not None:
            return self._trend.get_load(endpoint)
        return self._total_loads.get(endpoint, _NO_LOAD)

    def count_alive(self):
        """Return the number of live instances, including this one."""
        return 1 + sum(digest.instances for digest in self._list_counted())

    def count_events(self):
        """Return the peers' events and slow events of the last second."""
        counted = self._list_counted()
        return (
            sum(digest.events for digest in counted),
            sum(digest.slow_events for digest in counted),
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
            digest.crossings.get(pair, 0.0) for digest in self._list_counted()
        )

    def merge_speeds(self, now):
        """Return what the peers together tell of the speed of endpoints.

        Parameters
        ----------
        now : float
            Seconds.

        Returns
        -------
        dict of (str, int) to Speed
            By run id.
        """
        if self._summary is not None:
            parts, ages_s = [self._summary.speeds], [now - self._summary_at]
        else:
            heard = [p for p in self.peers.values() if p.digest is not None]
            parts = [peer.digest.speeds for peer in heard]
            ages_s = [now - peer.heard_at for peer in heard]
        return _speeds.merge_speeds(parts, ages_s)

    def list_due_addresses(self, now, data_centre=None):
        """Return the addresses to which the next digest is sent.

        Parameters
        ----------
        now : float
            Seconds.
        data_centre : str, optional
            Only its members are returned.

        Returns
        -------
        list of (str, int)
        """
        due = []
        for peer in self.peers.values():
            if data_centre is not None and peer.data_centre != data_centre:
                continue
            silent = now - peer.heard_at > _SILENT_AFTER_S
            if not silent or now - peer.sent_at > _PROBE_INTERVAL_S:
                peer.sent_at = now
                due.append(peer.address)
        return due

    def _list_counted(self):
        if self._summary is not None:
            return [self._summary]
        return [p.digest for p in self.peers.values() if p.digest is not None]

    def _drop_other_sums(self, digest):
        """Drop the sums of a data centre that other peers sent before."""
        for name, peer in self.peers.items():
            other = peer.digest
            if (
                other is not None
                and name != digest.sender
                and other.scope is _records.Scope.DATA_CENTRE
                and other.data_centre == digest.data_centre
            ):
                self._add_loads(other, -1)
                peer.digest = None

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
