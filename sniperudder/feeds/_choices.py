"""Choice of the instance that serves the others of its data centre.

All instances rank the members of their data centre in the same way, from
what the platform lists, so that they agree without a vote. Each uses the
first one that works for it, which may be itself. Instances that disagree for a
moment, as after a failure, cost some work done twice and nothing else.
"""

import hashlib


def rank_candidates(link_mbps):
    """Return the names of candidates, best first.

    Parameters
    ----------
    link_mbps : dict of str to float
        Bandwidth of each candidate's network link by name, Mbit/s.

    Returns
    -------
    list of str
    """
    return sorted(
        link_mbps, key=lambda name: (-link_mbps[name], _hash_name(name))
    )


class SourceChoice:
    """Chooses among the instances of a data centre.

    Parameters
    ----------
    own_name : str
        Name of this instance, which is always a candidate.

    Examples
    --------
    >>> choice = SourceChoice('entry-1')
    >>> choice.set_candidates({'entry-1': 20.0, 'entry-2': 200.0})
    >>> choice.choose(0.0)
    'entry-2'
    >>> choice.record_failure('entry-2', 0.0, 5.0)
    >>> choice.choose(1.0), choice.choose(6.0)
    ('entry-1', 'entry-2')
    """

    __slots__ = ('_excluded_until', '_own_name', '_ranked')

    def __init__(self, own_name):
        self._own_name = own_name
        self._ranked = [own_name]
        # Time until which a failed candidate is not chosen, by name.
        self._excluded_until = {}

    def set_candidates(self, link_mbps):
        """Replace the candidates.

        Parameters
        ----------
        link_mbps : dict of str to float
            Bandwidth of the network link of each candidate by name, Mbit/s.
            The largest is chosen first, since it serves all others.
        """
        candidates = {self._own_name: 0.0, **link_mbps}
        self._ranked = rank_candidates(candidates)
        for name in list(self._excluded_until):
            if name not in candidates:
                del self._excluded_until[name]

    def choose(self, now):
        """Return the best candidate that has not failed lately.

        Parameters
        ----------
        now : float
            Loop time, seconds.

        Returns
        -------
        str or None
            None if all have failed.
        """
        for name in self._ranked:
            if not self.is_excluded(name, now):
                return name
        return None

    def list_first(self, count, now):
        """Return the first candidates that have not failed lately."""
        working = (
            name for name in self._ranked if not self.is_excluded(name, now)
        )
        return [name for name, _ in zip(working, range(count))]

    def is_excluded(self, name, now):
        """Return whether a candidate has failed lately."""
        return now < self._excluded_until.get(name, now)

    def is_worse(self, name):
        """Return whether a candidate is chosen after this instance."""
        return name not in self._ranked or (
            self._ranked.index(name) > self.get_rank()
        )

    def record_failure(self, name, now, retry_s):
        """Exclude a candidate for some time, seconds."""
        self._excluded_until[name] = now + retry_s

    def record_success(self, name):
        """Choose a candidate again as if it had never failed."""
        self._excluded_until.pop(name, None)

    def get_rank(self):
        """Return the position of this instance; 0 is chosen first."""
        return self._ranked.index(self._own_name)


def _hash_name(name):
    # Unlike the names' own order, not related to the start order of machines.
    return hashlib.blake2b(name.encode(), digest_size=8).digest()
