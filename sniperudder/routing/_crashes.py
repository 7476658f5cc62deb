"""Detection of requests that crash the endpoints which run them.

A caller may send the same request again and again, and crash one endpoint
after another. A request is identified by a fingerprint of its organisation,
path and body. When a run of an endpoint ends soon after requests were
interrupted there, the crash counts against each of them. Requests that merely
ran at the same time as the cause rarely take part in as many crashes.
"""

import collections
import hashlib
import itertools

# Crashes after which a request is blocked; the users allow three.
_MAX_CRASHES = 3

# Longest time between the interruption of a request and the end of the
# endpoint's entry in the platform's list, seconds: three heartbeats of
# 1.2 s and their delay.
_MAX_CRASH_DELAY_S = 6.0

# Largest numbers of fingerprints that are stored, and that are sent to other
# instances; a digest must fit in a datagram.
_MAX_FINGERPRINTS = 10_000
_MAX_SENT_FINGERPRINTS = 20

_DIGEST_BYTES = 12


def make_fingerprint(organisation, target, body):
    """Return a fingerprint that identifies equal requests.

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
    """Counts the crashes of endpoints by request."""

    __slots__ = ('_counts', '_interrupted', '_peer_counts')

    def __init__(self):
        self._counts = collections.OrderedDict()
        self._peer_counts = {}
        # Time of each recent interruption, by run id and fingerprint.
        self._interrupted = {}

    def record_interruption(self, fingerprint, run_id, now):
        """Record that a request was interrupted while it ran at an endpoint.

        Parameters
        ----------
        fingerprint : str
        run_id : (str, int)
            See `sniperudder.fleet.Endpoint`.
        now : float
            Loop time, seconds.
        """
        self._interrupted.setdefault(run_id, {})[fingerprint] = now

    def record_run_end(self, run_id, now):
        """Record that a run of an endpoint ended.

        Returns
        -------
        dict of str to float
            Time since the interruption of each request that the crash counts
            against, by fingerprint, seconds.
        """
        interrupted = self._interrupted.pop(run_id, {})
        counted = {
            fingerprint: now - at
            for fingerprint, at in interrupted.items()
            if now - at <= _MAX_CRASH_DELAY_S
        }
        for fingerprint in counted:
            count = self._counts.pop(fingerprint, 0) + 1
            self._counts[fingerprint] = count
            if len(self._counts) > _MAX_FINGERPRINTS:
                self._counts.popitem(last=False)
        return counted

    def record_peer_counts(self, sender, counts):
        """Replace the counts received from another instance."""
        if counts:
            self._peer_counts[sender] = dict(counts)
        else:
            self._peer_counts.pop(sender, None)

    def list_recent_counts(self):
        """Return this instance's most recent counts by fingerprint."""
        newest = itertools.islice(
            reversed(self._counts.items()), _MAX_SENT_FINGERPRINTS
        )
        return dict(newest)

    def list_counts(self, fingerprint):
        """Return this instance's count for a request, then its peers'."""
        counts = [self._counts.get(fingerprint, 0)]
        counts += [
            peer.get(fingerprint, 0) for peer in self._peer_counts.values()
        ]
        return counts

    def is_condemned(self, fingerprint):
        """Return whether a request may not be sent to any endpoint."""
        # Two instances that both saw one crash count it twice. The largest
        # count is therefore a lower bound, and the sum an upper bound.
        counts = self.list_counts(fingerprint)
        return max(counts) >= _MAX_CRASHES or sum(counts) >= 2 * _MAX_CRASHES

    def drop_expired(self, now):
        """Drop interrupted requests whose endpoint did not end in time."""
        for run_id, interrupted in list(self._interrupted.items()):
            for fingerprint, at in list(interrupted.items()):
                if now - at > _MAX_CRASH_DELAY_S:
                    del interrupted[fingerprint]
            if not interrupted:
                del self._interrupted[run_id]
