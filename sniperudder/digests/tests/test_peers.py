"""Tests of the peer table and the digest codec."""

import random

import testtools

from sniperudder import digests


def create_digest(sender='entry-1', sequence=1, incarnation=1, **loads):
    """Return a digest with the given number of requests per endpoint."""
    return digests.Digest(
        sender,
        incarnation,
        sequence,
        {name: digests.Load(n, 10.0 * n) for name, n in loads.items()},
        (),
    )


class PeerTableTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.table = digests.PeerTable()

    def record(self, digest, now=0.0):
        """Record a digest as received from the sender's address."""
        return self.table.record_digest(digest, (digest.sender, 1), now)

    def test_loads_of_peers_add_up(self):
        self.record(create_digest('entry-1', gpu=2))
        self.record(create_digest('entry-2', gpu=3))
        self.assertEqual(digests.Load(5, 50.0), self.table.get_load('gpu'))
        self.assertEqual(3, self.table.count_alive())

    def test_newer_digest_replaces_older_one(self):
        self.record(create_digest(sequence=2, gpu=2))
        self.assertFalse(self.record(create_digest(sequence=1, gpu=9)))
        self.record(create_digest(sequence=3))
        self.assertEqual(0, self.table.get_load('gpu').requests)

    def test_restarted_peer_starts_with_new_sequence(self):
        self.record(create_digest(sequence=900, gpu=2))
        self.record(create_digest(sequence=1, incarnation=2, gpu=1))
        self.assertEqual(1, self.table.get_load('gpu').requests)

    def test_load_of_silent_peer_expires(self):
        self.record(create_digest(gpu=2), now=0.0)
        self.assertEqual([], self.table.expire_loads(1.0))
        self.assertEqual(['entry-1'], self.table.expire_loads(2.0))
        self.assertEqual(0, self.table.get_load('gpu').requests)
        self.assertEqual(1, self.table.count_alive())

    def test_silent_peer_is_probed_rarely(self):
        self.table.add_peer('entry-1', ('h', 1), now=0.0)
        self.assertEqual(1, len(self.table.list_due_addresses(1.0)))
        self.assertEqual(1, len(self.table.list_due_addresses(20.0)))
        self.assertEqual([], self.table.list_due_addresses(20.5))

    def test_permanently_gone_peer_is_listed(self):
        peers = digests.PeerTable()
        peers.add_peer('a', ('h', 1), 0.0)
        peers.add_peer('b', ('h', 2), 500.0)
        self.assertEqual([], peers.list_gone_peers(599.0))
        self.assertEqual(['a'], peers.list_gone_peers(700.0))
        peers.remove_peer('a')
        self.assertEqual(['b'], list(peers.peers))

    def test_no_load_remains_after_all_peers_expire(self):
        rng = random.Random(4)
        for sequence in range(1, 400):
            loads = {
                f'gpu{n}': rng.randrange(1, 9) for n in range(rng.randrange(4))
            }
            sender = f'entry-{rng.randrange(3)}'
            self.record(create_digest(sender, sequence, **loads))
        self.table.expire_loads(100.0)
        for number in range(4):
            load = self.table.get_load(f'gpu{number}')
            self.assertEqual(digests.Load(0, 0.0), load)


class CodecTest(testtools.TestCase):
    def test_invalid_bytes_raise_digest_error(self):
        rng = random.Random(6)
        for size in range(0, 200, 7):
            with testtools.ExpectedException(digests.DigestError):
                digests.decode_digest(b'\xff' + rng.randbytes(size))

    def test_truncated_digest_raises_digest_error(self):
        encoded = digests.encode_digest(create_digest(gpu=2))
        for length in range(len(encoded) - 1):
            with testtools.ExpectedException(digests.DigestError):
                digests.decode_digest(encoded[:length])
