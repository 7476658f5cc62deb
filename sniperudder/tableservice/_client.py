"""The interface of every client of the platform."""

import abc


class PlatformClient(abc.ABC):
    """Calls the platform's table service, object store and list.

    Methods may be called from several threads at once. None of them
    raises for a fault of the platform or of the network.
    """

    @abc.abstractmethod
    def transact(self, call, timeout_s):
        """Run one serialisable transaction.

        Parameters
        ----------
        call : sniperudder.effects.Transact
        timeout_s : float
            Longest wait, seconds.

        Returns
        -------
        Committed, Conflicted, Unknown or NotSent
            From ``sniperudder.inputs``. ``NotSent`` only where no byte
            of the request can have left this process, or where the
            service said that it did not start the transaction.
        """

    @abc.abstractmethod
    def scan(self, call, timeout_s):
        """Read rows in key order; the answer may lag behind writes.

        Parameters
        ----------
        call : sniperudder.effects.Scan
        timeout_s : float

        Returns
        -------
        tuple of Row or None
            None where no answer came.
        """

    @abc.abstractmethod
    def list_instances(self, timeout_s):
        """Read the lagging list of live and leaving instances.

        Returns
        -------
        tuple of ListedInstance or None
        """

    @abc.abstractmethod
    def get_object(self, name, timeout_s):
        """Return an object's bytes; None where absent or unreachable."""

    @abc.abstractmethod
    def put_object(self, name, data, timeout_s):
        """Store an object; return whether that is certain."""
