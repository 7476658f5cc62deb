"""Accounting of the capacity that a running request uses at endpoints."""

from sniperudder import fleet

__all__ = ['Reservation']


class Reservation:
    """Capacity counted for one request in this instance's tables.

    Counts one request and its KV cache at each stage of the chain, and one
    connection to the first stage. Endpoints are not informed.

    Parameters
    ----------
    T : sniperudder.fleet.FleetTables
    tokens : float
        Prompt and output tokens of the request; 0 if the service runs
        no model.
    """

    __slots__ = ('_T', '_first', '_held', '_tokens')

    def __init__(self, T, tokens):
        self._T = T
        self._tokens = tokens
        self._first = None
        self._held = []

    def reserve(self, stages, now):
        """Count the request at a chain instead of the previous chain.

        Parameters
        ----------
        stages : sequence of sniperudder.fleet.Stage
        now : float
            Loop time, seconds.
        """
        self.clear()
        for pair in fleet.list_crossings(stages):
            self._T.crossings.record(pair, self._tokens, now)
        for stage in stages:
            state = fleet.get_state(self._T, stage.endpoint)
            held = self._tokens * (len(stage.layers) if stage.layers else 0)
            state.requests += 1
            state.token_layers += held
            self._held.append((state, held))
        self._first = self._held[0][0]
        self._first.connections += 1

    def clear(self):
        """Stop counting the request at any chain."""
        for state, held in self._held:
            state.requests -= 1
            state.token_layers -= held
        self._held = []
        if self._first is not None:
            self._first.connections -= 1
            self._first = None
