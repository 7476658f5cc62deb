"""The interface of every client of model engines."""

import abc


class EngineClient(abc.ABC):
    """Sends steps and orders to model engines.

    Methods may be called from several threads at once. None of them
    raises for a fault of the engine or of the network.
    """

    @abc.abstractmethod
    def send_steps(self, ep, steps, timeout_s):
        """Run steps of several streams in one call.

        Parameters
        ----------
        ep : sniperudder.tables.Endpoint
        steps : list of sniperudder.effects.Step
        timeout_s : float

        Returns
        -------
        list of StepReturned or StepFailed
            From ``sniperudder.inputs``, one for each step, in order.
        """

    @abc.abstractmethod
    def cancel_streams(self, ep, cancels, timeout_s):
        """Drop attempts at an engine; best effort.

        Parameters
        ----------
        ep : sniperudder.tables.Endpoint
        cancels : list of sniperudder.effects.CancelStream
        timeout_s : float
        """

    @abc.abstractmethod
    def read_load(self, ep, timeout_s):
        """Return the engine's ``LoadReported``, or None."""
