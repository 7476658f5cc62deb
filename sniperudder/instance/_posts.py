"""Threads that send messages about slots, many to a call."""

import queue

from sniperudder import effects
from sniperudder import inputs
from sniperudder.instance import _batches

_MESSAGES_PER_CALL = 512
# A home that takes longer than this is passed over for another one.
_TIMEOUT_S = 0.5


class PostSender:
    """Sends the messages to one peer, in order.

    Parameters
    ----------
    runtime : Runtime
    client : PeerClient
    peer : str
    """

    __slots__ = ('runtime', 'client', 'peer', 'posts')

    def __init__(self, runtime, client, peer):
        self.runtime = runtime
        self.client = client
        self.peer = peer
        self.posts = queue.SimpleQueue()

    def run(self):
        """Send what gathers, for ever."""
        while True:
            posts = _batches.take_all(self.posts, _MESSAGES_PER_CALL)
            _batches.run_logged(self._send, posts)

    def _send(self, posts):
        # The newest address: the peer may have been replaced.
        address = posts[-1].address
        messages = [post.message for post in posts]
        me = self.runtime.T.me
        if self.client.tell(address, me, messages, _TIMEOUT_S):
            return
        for message in messages:
            self.runtime.submit(inputs.PostLost(self.peer, message))


class PostSenders:
    """Routes messages to the sender of their peer."""

    __slots__ = ('runtime', 'client', 'senders')

    def __init__(self, runtime, client):
        self.runtime = runtime
        self.client = client
        self.senders = {}

    def send_post(self, effect):
        """Queue a message; called with the runtime's lock held."""
        sender = self.senders.get(effect.peer)
        if sender is None:
            sender = PostSender(self.runtime, self.client, effect.peer)
            self.senders[effect.peer] = sender
            _batches.start_thread(sender.run, f'posts {effect.peer}')
        sender.posts.put(effect)


def create_post_senders(runtime, client):
    """Return the senders of messages, their effects routed."""
    senders = PostSenders(runtime, client)
    runtime.routes[effects.Post] = senders.send_post
    return senders
