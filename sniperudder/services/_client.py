"""The interface of every client of plain services."""

import abc


class ServiceClient(abc.ABC):
    """Calls plain services that stand beside the model engines.

    Methods may be called from several threads at once. None of them
    raises for a fault of the service or of the network.
    """

    @abc.abstractmethod
    def call(self, call, timeout_s):
        """Make one call, never repeated by this client.

        Parameters
        ----------
        call : sniperudder.effects.CallService
        timeout_s : float

        Returns
        -------
        sniperudder.inputs.ServiceReturned
            Its delivery is ``NOT_SENT`` only where no byte of the
            request can have left this process, or where the service
            said that it did not start the call.
        """

    @abc.abstractmethod
    def ask(self, call, timeout_s):
        """Ask what became of a key.

        Parameters
        ----------
        call : sniperudder.effects.AskService
        timeout_s : float

        Returns
        -------
        sniperudder.inputs.ServiceTold
            Bears the question's number.
        """
