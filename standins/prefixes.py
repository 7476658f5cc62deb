"""An engine's cache of prompt prefixes and the events it publishes."""

import collections
import hashlib
import time

from standins import model

__all__ = ['PrefixCache']

_BLOCK_CHARS = 64
_EVENTS = 10000


class PrefixCache:
    """Prefixes of prompts in whole blocks, the latest used ones.

    Parameters
    ----------
    options : standins.engine.Options
    """

    def __init__(self, options):
        self._options = options
        self._blocks = collections.OrderedDict()
        self._events = collections.deque(maxlen=_EVENTS)
        self._number = 0

    def fill(self, text, drop_events=False):
        """Hold a text's prefixes; return how many chars were held."""
        cached = 0
        digest = hashlib.sha256()
        whole = len(text) - len(text) % _BLOCK_CHARS
        for end in range(_BLOCK_CHARS, whole + 1, _BLOCK_CHARS):
            digest.update(model.encode(text[end - _BLOCK_CHARS : end]))
            name = digest.hexdigest()
            if name in self._blocks:
                self._blocks.move_to_end(name)
                cached = end
            else:
                self._blocks[name] = end
                self._publish('stored', name, end, drop_events)
        while len(self._blocks) > self._options.cache_blocks:
            name, end = self._blocks.popitem(last=False)
            self._publish('evicted', name, end, drop_events)
        return cached

    def read_events(self, after):
        """Return the events numbered above ``after`` that are due."""
        until = time.monotonic() - self._options.event_lag_s
        return [
            event
            for at, event in self._events
            if event['number'] > after and at <= until
        ]

    def _publish(self, kind, digest, chars, drop):
        self._number += 1
        every = self._options.lose_event_every
        if drop or (every and self._number % every == 0):
            return
        event = {
            'number': self._number,
            'kind': kind,
            'digest': digest,
            'chars': chars,
        }
        self._events.append((time.monotonic(), event))
