"""Requests that crash the endpoints which run them.

Pattern: a caller sends the same request again and again, each time an
endpoint begins to run it and crashes. A request is known by a
fingerprint of its organisation, path and body. Each run of an endpoint
that ended soon after it broke off a request counts against that request;
few others are part of so many crashes.
"""

import collections
import hashlib
import itertools

# Crashes after which a request is sent to no further endpoint; the users
# allow three.
_MAX_CRASHES = 3

# Longest time between a broken request and the end of the endpoint's
# entry, seconds: three heartbeats of 1.2 s and their delay.
_LINK_S = 6.0

# Requests that are remembered at most, and told to other instances: these
# must fit a datagram.
_MAX_FINGERPRINTS = 10_000
_MAX_TOLD = 20

_DIGEST_BYTES = 12


def make_fingerprint(organisation, target, body):
    """Return what a request is known by.

    Parameters
    ----------
    organisation : str
    target, body : bytes

    Returns
    -------
    str
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (organisation.encode(), target, body):
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return digest.hexdigest()


class CrashTable:
    """Counts crashes of endpoints by request."""

    __slots__ = ('_broken', '_counts', '_heard')

    def __init__(self):
        self._counts = collections.OrderedDict()
        self._heard = {}
        # Requests that broke lately, by run of an endpoint.
        self._broken = {}

    def record_broken(self, fingerprint, run, now):
        """Note that a run of an endpoint broke off a request.

        Parameters
        ----------
        fingerprint : str
        run : (str, int)
            Id and time of birth of the endpoint.
        now : float
            Seconds.
        """
        self._broken.setdefault(run, {})[fingerprint] = now

    def record_end(self, run, now):
        """Note that a run of an endpoint is over.

        Returns
        -------
        list of str
            Requests that it counts against.
        """
        broken = self._broken.pop(run, {})
        counted = [f for f, at in broken.items() if now - at <= _LINK_S]
        for fingerprint in counted:
            count = self._counts.pop(fingerprint, 0) + 1
            self._counts[fingerprint] = count
            if len(self._counts) > _MAX_FINGERPRINTS:
                self._counts.popitem(last=False)
        return counted

    def record_heard(self, sender, counts):
        """Keep another instance's counts, which replace its former ones."""
        if counts:
            self._heard[sender] = dict(counts)
        else:
            self._heard.pop(sender, None)

    def list_counts(self):
        """Return the newest of this instance's counts by fingerprint."""
        newest = itertools.islice(reversed(self._counts.items()), _MAX_TOLD)
        return dict(newest)

    def is_condemned(self, fingerprint):
        """Tell whether a request is sent to no further endpoint."""
        # Two instances that both saw one crash count it twice; the
        # largest count is sure, and their sum only a bound.
        counts = [heard.get(fingerprint, 0) for heard in self._heard.values()]
        counts.append(self._counts.get(fingerprint, 0))
        return max(counts) >= _MAX_CRASHES or sum(counts) >= 2 * _MAX_CRASHES

    def forget(self, now):
        """Drop broken requests whose endpoint did not end."""
        for run, broken in list(self._broken.items()):
            for fingerprint, at in list(broken.items()):
                if now - at > _LINK_S:
                    del broken[fingerprint]
            if not broken:
                del self._broken[run]
