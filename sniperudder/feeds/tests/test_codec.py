"""Tests of the serialization of feeds."""

import random
from unittest import mock
import zlib

import testtools

from sniperudder import feeds
from sniperudder.feeds import _codec
from sniperudder.feeds.gen.wire import ttypes
from sniperudder import platform
from sniperudder import revisions


def make_reply():
    """Return a reply with small, large and deleted rows."""
    rows = (
        platform.StoredRow('a', b'{}', revisions.Revision(1, 3)),
        platform.StoredRow(
            'b', b'{"routes": []}' * 100, revisions.Revision(2, 4)
        ),
        platform.StoredRow('c', None, revisions.Revision(2, 5)),
    )
    changes = feeds.Changes('op', revisions.Revision(2, 6), True, rows)
    return feeds.FeedReply(1, (changes,), 0.25)


class FeedCodecTest(testtools.TestCase):
    def test_configuration_is_compressed(self):
        value = b'{"prefix": "/a/", "service": "desk"}' * 1_000
        revision = revisions.Revision(1, 6)
        row = platform.StoredRow('config', value, revision)
        changes = feeds.Changes('op', revision, True, (row,))
        data = feeds.encode_reply(feeds.FeedReply(1, (changes,), 0.0))
        self.assertLess(len(data), len(value) / 10)
        self.assertEqual(
            value, feeds.decode_reply(data).changes[0].rows[0].value
        )

    def test_reply_is_decoded_as_it_was(self):
        data = feeds.encode_reply(make_reply())
        self.assertEqual(make_reply(), feeds.decode_reply(data))

    # Guards against: a position of an instance that states no era was taken
    # for one of the present era.
    def test_request_without_era_is_refused(self):
        message = ttypes.FeedRequest([ttypes.Position('op', 5)], 0)
        data = _codec.TSerialization.serialize(
            message, _codec._PROTOCOL_FACTORY
        )
        self.assertRaises(feeds.FeedError, feeds.decode_request, data)

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
        row = ttypes.Row('config', 5, value, True, 1)
        changes = ttypes.Changes('op', 5, True, [row], 1)
        message = ttypes.FeedReply(1, [changes], 0)
        data = _codec.TSerialization.serialize(
            message, _codec._PROTOCOL_FACTORY
        )
        self.assertRaises(feeds.FeedError, feeds.decode_reply, data)


class CompressionTest(testtools.TestCase):
    # Guards against: the instance that a data centre follows compressed a
    # large configuration once for each follower.
    def test_a_value_is_compressed_once_for_all_followers(self):
        revision = revisions.Revision(1, 5)
        row = platform.StoredRow('config', b'{"a": 1}' * 1_000, revision)
        changes = feeds.Changes('op', revision, False, (row,))
        with mock.patch.object(
            zlib, 'compress', autospec=True, side_effect=zlib.compress
        ) as compress:
            replies = [
                feeds.encode_reply(feeds.FeedReply(1, (changes,), age_s))
                for age_s in range(30)
            ]
        self.assertEqual(1, compress.call_count)
        for reply in replies:
            decoded = feeds.decode_reply(reply)
            self.assertEqual((changes,), decoded.changes)
