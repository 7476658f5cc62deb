"""Interface of clients for plain services."""

import abc


class ServiceClient(abc.ABC):
    """Calls plain services, which are deployed beside the model engines.

    Methods are safe to call from several threads. None of them raises
    an exception on a failure of the service or of the network.
    """

    @abc.abstractmethod
    def call(self, effect, timeout_s):
        """Send one call; this client never retries it.

        Parameters
        ----------
        effect : sniperudder.effects.CallService
        timeout_s : float

        Returns
        -------
        sniperudder.inputs.ServiceReturned
            Its delivery is ``NOT_SENT`` only if no byte of the request
            can have left this process, or if the service reported that
            it did not start the call.
        """

    @abc.abstractmethod
    def look_up(self, effect, timeout_s):
        """Look up the state of an idempotency key.

        Parameters
        ----------
        effect : sniperudder.effects.LookUpKey
        timeout_s : float

        Returns
        -------
        sniperudder.inputs.KeyLookupReturned
            Carries the lookup number of ``effect``.
        """
