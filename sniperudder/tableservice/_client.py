"""Abstract interface of platform clients."""

import abc


class PlatformClient(abc.ABC):
    """Calls the platform's table service, object store and instance list.

    Methods must be thread-safe. They do not raise for platform or network
    faults.
    """

    @abc.abstractmethod
    def transact(self, call, timeout_s):
        """Run one serialisable transaction.

        Parameters
        ----------
        call : sniperudder.effects.Transact
        timeout_s : float
            Timeout of the call, seconds.

        Returns
        -------
        Committed, Conflicted, Unknown or NotSent
            From ``sniperudder.inputs``. ``NotSent`` is returned only if
            no byte of the request can have left this process, or if the
            service reported that it did not start the transaction.
        """

    @abc.abstractmethod
    def scan(self, call, timeout_s):
        """Read rows in key order; the result may lag behind writes.

        Parameters
        ----------
        call : sniperudder.effects.Scan
        timeout_s : float
            Timeout of the call, seconds.

        Returns
        -------
        tuple of Row or None
            None if no valid response arrived.
        """

    @abc.abstractmethod
    def list_instances(self, timeout_s):
        """Read the list of live and leaving instances, which may lag.

        Returns
        -------
        tuple of ListedInstance or None
        """

    @abc.abstractmethod
    def get_object(self, name, timeout_s):
        """Return the bytes of an object; None if absent or unreachable."""

    @abc.abstractmethod
    def put_object(self, name, data, timeout_s):
        """Store an object; return whether the store confirmed it."""
