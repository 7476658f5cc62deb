"""Abstract interface of engine clients."""

import abc


class EngineClient(abc.ABC):
    """Sends steps and cancels to model engines.

    Methods must be thread-safe. They do not raise for engine or network
    faults.
    """

    @abc.abstractmethod
    def send_steps(self, ep, steps, timeout_s):
        """Run steps of one or more streams in one call.

        Parameters
        ----------
        ep : sniperudder.tables.Endpoint
        steps : list of sniperudder.effects.Step
        timeout_s : float
            Timeout of the call, seconds.

        Returns
        -------
        list of StepReturned or StepFailed
            From ``sniperudder.inputs``, one for each step, in order.
        """

    @abc.abstractmethod
    def cancel_streams(self, ep, cancels, timeout_s):
        """Cancel streams on an engine; failures are ignored.

        Parameters
        ----------
        ep : sniperudder.tables.Endpoint
        cancels : list of sniperudder.effects.CancelStream
        timeout_s : float
            Timeout of the call, seconds.
        """

    @abc.abstractmethod
    def read_load(self, ep, timeout_s):
        """Return the engine's ``LoadReported``, or None on failure."""
