"""Tests of the digest: it may understate what is known, never more."""

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


def _create(me):
    T = create_tables(me, 'milan')
    membership.add_self(T, f'{me}:1', 1)
    T.rosters.append(Roster(1, _MEMBERS))
    return T


class DigestTest(testtools.TestCase):
    def pass_on(self, T, now, sent_at):
        """Return what `b` knows after an answer of `a`."""
        receiver = _create('b')
        version, digest = _digest.create_digest(T, now)
        beat = inputs.Beat(
            'a',
            'a:1',
            'milan',
            1,
            0,
            roster_version=version,
            digest_version=T.known_version,
            digest=digest,
        )
        _digest.take_digest(receiver, beat, sent_at, sent_at + 0.1)
        return receiver

    @hypothesis.settings(derandomize=True, database=None, deadline=None)
    @hypothesis.given(
        age_s=strategies.floats(0, 5),
        lag=strategies.integers(0, 400),
        rooted=strategies.booleans(),
    )
    def test_nothing_is_overstated(self, age_s, lag, rooted):
        T = _create('a')
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
        peer = self.pass_on(T, now, 70.0).instances['c']
        self.assertLessEqual(peer.heard_at, 70.0 - age_s + 1e-9)
        self.assertLessEqual(peer.acked_version, version)
        if peer.heard_at > 0:
            self.assertGreaterEqual(peer.config_version, version)
            self.assertEqual(rooted, peer.rooted)

    def test_what_is_recent_arrives(self):
        T = _create('a')
        T.known_version = 9
        T.instances['c'] = Instance(
            'c', '', '', config_version=8, heard_at=99.0, rooted=True
        )
        peer = self.pass_on(T, 100.0, 50.0).instances['c']
        self.assertEqual((8, 8), (peer.acked_version, peer.config_version))
        self.assertAlmostEqual(49.0, peer.heard_at, delta=0.16)

    def test_a_digest_of_an_unknown_roster_is_left_alone(self):
        T = _create('a')
        T.rosters.append(Roster(2, ('a', 'c')))
        receiver = self.pass_on(T, 1.0, 1.0)
        self.assertNotIn('c', receiver.instances)
