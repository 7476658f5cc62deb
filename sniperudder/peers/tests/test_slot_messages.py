"""Tests of slot messages over thrift."""

import testtools

from sniperudder import messages
from sniperudder import outcomes
from sniperudder import peers
from sniperudder.peers import _slot_messages
from sniperudder import tables

_CHAIN = (tables.Stage('a', 0, 4), tables.Stage('b', 4, 8))
_URGENT = tables.Rank.URGENT

_MESSAGES = [
    messages.AskSlot(
        'r', 2, 'org', _URGENT, 'm', 3.5, 'f', 1.0, True, 1, ('a:b',), 2.5
    ),
    messages.GrantSlot('r', 2, _CHAIN, '1', ('x', 'y')),
    messages.DenySlot('r', 2, outcomes.Code.NO_ENDPOINT, 1.5),
    messages.DenySlot('r', 2, outcomes.Code.CONTENT_CONDEMNED, None),
    messages.RevokeSlot('r', 2),
    messages.ReleaseSlot(
        'r', 2, 7.0, (messages.Sample('a', 0.1, True, True, 'b'),)
    ),
    messages.HoldSlots(
        (messages.Holding('r', 2, 'org', _URGENT, 'm', _CHAIN),), ('q',)
    ),
    messages.ForgotSlots(('r', 'q')),
]


class TestSlotMessages(testtools.TestCase):
    def test_every_message_type_round_trips(self):
        for message in _MESSAGES:
            post = _slot_messages.encode_message(message)
            self.assertEqual(message, _slot_messages.decode_message(post))

    def _start(self, key):
        arrived = []
        server = peers.create_peer_server(
            '127.0.0.1:0',
            lambda beat: beat,
            lambda sender, messages: arrived.append((sender, messages)),
            lambda query, timeout_s: '',
            key,
        )
        server.start()
        self.addCleanup(server.stop)
        return server, arrived

    def test_messages_arrive_in_order(self):
        server, arrived = self._start('')
        client = peers.create_peer_client()
        self.addCleanup(client.close)
        delivered = client.tell(server.address, 'entry-1', _MESSAGES, 5.0)
        self.assertTrue(delivered)
        self.assertEqual([('entry-1', _MESSAGES)], arrived)

    def test_wrong_key_is_refused(self):
        server, arrived = self._start('right')
        client = peers.create_peer_client('wrong')
        self.addCleanup(client.close)
        delivered = client.tell(server.address, 'entry-1', _MESSAGES, 5.0)
        self.assertFalse(delivered)
        self.assertEqual([], arrived)
