"""Tests of the serialization of feeds."""

import random
import zlib

import testtools

from sniperudder import feeds
from sniperudder.feeds import _codec
from sniperudder.feeds.gen.wire import ttypes
from sniperudder import platform


def make_reply():
    """Return a reply with small, large and deleted rows."""
    rows = (
        platform.StoredRow('a', b'{}', 3),
        platform.StoredRow('b', b'{"routes": []}' * 100, 4),
        platform.StoredRow('c', None, 5),
    )
    changes = feeds.Changes('op', 6, True, rows)
    return feeds.FeedReply(1, (changes,), 0.25)


class FeedCodecTest(testtools.TestCase):
    def test_configuration_is_compressed(self):
        value = b'{"prefix": "/a/", "service": "desk"}' * 1_000
        changes = feeds.Changes(
            'op', 6, True, (platform.StoredRow('config', value, 6),)
        )
        data = feeds.encode_reply(feeds.FeedReply(1, (changes,), 0.0))
        self.assertLess(len(data), len(value) / 10)
        self.assertEqual(
            value, feeds.decode_reply(data).changes[0].rows[0].value
        )

    def test_malformed_bytes_raise_feed_error(self):
        rng = random.Random(7)
        data = feeds.encode_reply(make_reply())
        for _ in range(2_000):
            damaged = bytearray(data[: rng.randrange(len(data) + 1)])
            for _ in range(rng.randrange(4)):
                if damaged:
                    damaged[rng.randrange(len(damaged))] = rng.randrange(256)
            for decode in (feeds.decode_reply, feeds.decode_request):
                try:
                    decode(bytes(damaged))
                except feeds.FeedError:
                    continue

    def test_value_that_decompresses_without_end_is_refused(self):
        value = zlib.compress(bytes(_codec._MAX_VALUE_BYTES + 1))
        row = ttypes.Row('config', 5, value, True)
        changes = ttypes.Changes('op', 5, True, [row])
        message = ttypes.FeedReply(1, [changes], 0)
        data = _codec.TSerialization.serialize(
            message, _codec._PROTOCOL_FACTORY
        )
        self.assertRaises(feeds.FeedError, feeds.decode_reply, data)
