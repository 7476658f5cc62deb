"""Threads that send slot messages to peers in batches."""

import queue

from sniperudder import effects
from sniperudder import inputs
from sniperudder.instance import _workers

_MAX_MESSAGES_PER_CALL = 512
# A message that the peer does not confirm in this time is reported as lost;
# a request whose home does not respond in it goes to another home.
_SEND_TIMEOUT_S = 0.5


class SlotMessageSender:
    """Sends slot messages to one peer, in order.

    Parameters
    ----------
    runtime : Runtime
    client : PeerClient
    peer : str

    Attributes
    ----------
    pending : queue.SimpleQueue
        Effects of class ``SendSlotMessage`` that are not sent yet.
    """

    __slots__ = ('runtime', 'client', 'peer', 'pending')

    def __init__(self, runtime, client, peer):
        self.runtime = runtime
        self.client = client
        self.peer = peer
        self.pending = queue.SimpleQueue()

    def run(self):
        """Send queued messages in batches until the process ends."""
        while True:
            batch = _workers.take_batch(self.pending, _MAX_MESSAGES_PER_CALL)
            _workers.run_logged(self._send, batch)

    def _send(self, batch):
        # The latest address applies: the peer may have been replaced.
        address = batch[-1].address
        messages = [effect.message for effect in batch]
        me = self.runtime.T.me
        if self.client.tell(address, me, messages, _SEND_TIMEOUT_S):
            return
        for message in messages:
            self.runtime.submit(inputs.SlotMessageLost(self.peer, message))


class SlotMessageSenders:
    """Forwards slot messages to the sender of their peer."""

    __slots__ = ('runtime', 'client', 'senders')

    def __init__(self, runtime, client):
        self.runtime = runtime
        self.client = client
        self.senders = {}

    def send_message(self, effect):
        """Queue a message; the caller holds the lock of the runtime."""
        sender = self.senders.get(effect.peer)
        if sender is None:
            sender = SlotMessageSender(self.runtime, self.client, effect.peer)
            self.senders[effect.peer] = sender
            _workers.start_thread(sender.run, f'slot messages {effect.peer}')
        sender.pending.put(effect)


def create_slot_message_senders(runtime, client):
    """Return the senders, registered for ``SendSlotMessage``."""
    senders = SlotMessageSenders(runtime, client)
    runtime.handlers[effects.SendSlotMessage] = senders.send_message
    return senders
