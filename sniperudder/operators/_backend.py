"""Interface between the administration application and an instance."""

import abc


class OperatorBackend(abc.ABC):
    """Operations that operators can perform on an instance.

    Methods must be thread-safe and return within their timeout.
    """

    @abc.abstractmethod
    def run_query(self, query, timeout_s):
        """Query every instance and combine the results that arrive in time.

        Parameters
        ----------
        query : sniperudder.queries.Query
        timeout_s : float
            Timeout of the whole query, seconds.

        Returns
        -------
        sniperudder.queries.Result
            Lists the instances that did not respond as missing.
        """

    @abc.abstractmethod
    def plan_intent(self, intent):
        """Return the effect an intent would have, as known to this instance.

        Returns
        -------
        sniperudder.queries.IntentPlan
        """

    @abc.abstractmethod
    def submit_command(self, command, command_id, operator, timeout_s):
        """Commit a command, or return its outcome if already submitted.

        Parameters
        ----------
        command : sniperudder.queries.SubmitIntent
        command_id : str
        operator : str
        timeout_s : float
            Longest wait for the outcome, seconds.

        Returns
        -------
        CommittedAt, LostTo, NotDone or UnknownSoFar
            From ``sniperudder.outcomes``.
        """

    @abc.abstractmethod
    def verify(self, command_id):
        """Return the known state of a command on all instances.

        Returns
        -------
        sniperudder.systems.configuration.Verification
        """
