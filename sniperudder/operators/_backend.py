"""What the administration interface needs of an instance."""

import abc


class OperatorBackend(abc.ABC):
    """An instance as operators see it.

    Methods may be called from several threads at once and return
    within their time limit.
    """

    @abc.abstractmethod
    def run_query(self, query, timeout_s):
        """Ask every instance and combine what comes in time.

        Parameters
        ----------
        query : sniperudder.queries.Query
        timeout_s : float

        Returns
        -------
        sniperudder.queries.Result
            Names the instances that did not answer.
        """

    @abc.abstractmethod
    def plan_intent(self, intent):
        """Tell what an intent would do, as this instance sees it.

        Returns
        -------
        sniperudder.queries.IntentPlan
        """

    @abc.abstractmethod
    def submit_command(self, command, command_id, operator, timeout_s):
        """Commit a command, or find what became of it before.

        Parameters
        ----------
        command : sniperudder.queries.SubmitIntent
        command_id : str
        operator : str
        timeout_s : float

        Returns
        -------
        CommittedAt, LostTo, NotDone or UnknownSoFar
            From ``sniperudder.outcomes``.
        """

    @abc.abstractmethod
    def verify(self, command_id):
        """Return the evidence of what became of a command.

        Returns
        -------
        sniperudder.systems.configuration.Verification
        """
