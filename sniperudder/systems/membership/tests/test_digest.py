"""Tests of the digest, which must never overstate the evidence."""

import hypothesis
from hypothesis import strategies
from sniperudder import inputs
from sniperudder.systems import membership
from sniperudder.systems.membership import _digest
from sniperudder.tables import create_tables
from sniperudder.tables import Instance
from sniperudder.tables import Roster
import testtools

_MEMBERS = ('a', 'b', 'c')


def _create_heartbeat(me):
    T = create_tables(me, 'milan')
    membership.add_own_record(T, f'{me}:1', 1)
    T.rosters.append(Roster(1, _MEMBERS))
    return T


class DigestTest(testtools.TestCase):
    def exchange_digest(self, T, now, sent_at):
        """Return the tables of `b` after it received the digest of `a`."""
        receiver = _create_heartbeat('b')
        version, digest = _digest.create_digest(T, now)
        beat = inputs.Heartbeat(
            'a',
            'a:1',
            'milan',
            1,
            0,
            roster_version=version,
            digest_version=T.known_version,
            digest=digest,
        )
        _digest.apply_digest(receiver, beat, sent_at, sent_at + 0.1)
        return receiver

    @hypothesis.settings(derandomize=True, database=None, deadline=None)
    @hypothesis.given(
        age_s=strategies.floats(0, 5),
        lag=strategies.integers(0, 400),
        rooted=strategies.booleans(),
    )
    def test_digest_never_overstates_evidence(self, age_s, lag, rooted):
        T = _create_heartbeat('a')
        T.known_version = 1000
        now = 500.0
        version = T.known_version - lag
        T.instances['c'] = Instance(
            'c',
            '',
            '',
            config_version=version,
            heard_at=now - age_s,
            rooted=rooted,
        )
        peer = self.exchange_digest(T, now, 70.0).instances['c']
        self.assertLessEqual(peer.heard_at, 70.0 - age_s + 1e-9)
        self.assertLessEqual(peer.acked_version, version)
        if peer.heard_at > 0:
            self.assertGreaterEqual(peer.config_version, version)
            self.assertEqual(rooted, peer.rooted)

    def test_recent_evidence_is_transferred(self):
        T = _create_heartbeat('a')
        T.known_version = 9
        T.instances['c'] = Instance(
            'c', '', '', config_version=8, heard_at=99.0, rooted=True
        )
        peer = self.exchange_digest(T, 100.0, 50.0).instances['c']
        self.assertEqual((8, 8), (peer.acked_version, peer.config_version))
        self.assertAlmostEqual(49.0, peer.heard_at, delta=0.16)

    def test_digest_of_unknown_roster_is_ignored(self):
        T = _create_heartbeat('a')
        T.rosters.append(Roster(2, ('a', 'c')))
        receiver = self.exchange_digest(T, 1.0, 1.0)
        self.assertNotIn('c', receiver.instances)
