"""Runs whose entry the platform removed although they may still run."""

# Time within which live endpoints that the platform's list lacks are listed
# again; what is missing then has gone. Seconds.
RELISTING_S = 2.0


class LapseTable:
    """Runs whose entry was removed without an announcement.

    An endpoint that is silent for long, or whose liveness reports are lost, is
    removed like one that crashed. Times are those of
    `sniperudder.clocks.read_clock`, seconds.
    """

    __slots__ = ('_removed',)

    def __init__(self):
        # Endpoints and the times of their removal, by id, the first one first.
        self._removed = {}

    def record_removed(self, endpoint, now):
        """Record that the entry of an endpoint was removed.

        Parameters
        ----------
        endpoint : Endpoint
        now : float
        """
        self._drop_expired(now)
        self._removed.pop(endpoint.id, None)
        self._removed[endpoint.id] = endpoint, now

    def drop(self, name):
        """Forget an endpoint that is listed, or known to have ended.

        Parameters
        ----------
        name : str
            Id of the endpoint.
        """
        self._removed.pop(name, None)

    def list_endpoints(self, now):
        """Return the endpoints that may be listed again.

        Parameters
        ----------
        now : float

        Returns
        -------
        list of Endpoint
        """
        self._drop_expired(now)
        return [endpoint for endpoint, _ in self._removed.values()]

    def _drop_expired(self, now):
        for name, (_, removed_at) in list(self._removed.items()):
            if now - removed_at < RELISTING_S:
                return
            del self._removed[name]
