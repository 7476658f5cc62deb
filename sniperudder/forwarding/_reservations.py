"""What a request occupies at endpoints while it runs."""

from sniperudder import fleet

__all__ = ['Reservation']


class Reservation:
    """A request's channel, its place and its KV cache at each stage.

    Parameters
    ----------
    T : sniperudder.fleet.FleetTables
    tokens : float
        Size of the request with its answer; 0 for a plain service.
    """

    __slots__ = ('_tables', '_first', '_held', '_tokens')

    def __init__(self, tables, tokens):
        self._tables = tables
        self._tokens = tokens
        self._first = None
        self._held = []

    def reserve(self, parts, now):
        """Occupy the stages of a chain in place of the one before.

        Parameters
        ----------
        parts : sequence of sniperudder.fleet.Part
        now : float
            Seconds.
        """
        self.clear()
        for pair in fleet.list_crossings(parts):
            self._tables.crossings.record(pair, self._tokens, now)
        for part in parts:
            state = fleet.get_state(self._tables, part.endpoint)
            held = self._tokens * (len(part.layers) if part.layers else 0)
            state.requests += 1
            state.token_layers += held
            self._held.append((state, held))
        self._first = self._held[0][0]
        self._first.channels += 1

    def clear(self):
        """Occupy nothing any more."""
        for state, held in self._held:
            state.requests -= 1
            state.token_layers -= held
        self._held = []
        if self._first is not None:
            self._first.channels -= 1
            self._first = None
