"""Prefix cache of an engine, with the events that it publishes."""

import collections
import hashlib
import time

from standins import model

__all__ = ['PrefixCache']

_BLOCK_CHARS = 64
_MAX_EVENTS = 10000


class PrefixCache:
    """LRU cache of prompt prefixes in whole blocks.

    Parameters
    ----------
    options : standins.engine.Options
    """

    def __init__(self, options):
        self._options = options
        self._blocks = collections.OrderedDict()
        self._events = collections.deque(maxlen=_MAX_EVENTS)
        self._last_number = 0

    def fill(self, text, drop_events=False):
        """Add a text's prefixes; return how many characters were cached."""
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
        """Return the events after a number whose delay has passed."""
        until = time.monotonic() - self._options.event_lag_s
        return [
            event
            for at, event in self._events
            if event['number'] > after and at <= until
        ]

    def _publish(self, kind, digest, chars, drop):
        self._last_number += 1
        every = self._options.lose_event_every
        if drop or (every and self._last_number % every == 0):
            return
        event = {
            'number': self._last_number,
            'kind': kind,
            'digest': digest,
            'chars': chars,
        }
        self._events.append((time.monotonic(), event))
