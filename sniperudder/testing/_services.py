"""In-memory fake of services that log the calls they run."""

import dataclasses

from sniperudder import inputs


@dataclasses.dataclass(slots=True)
class Run:
    """One execution in a service's log.

    Attributes
    ----------
    service : str
    key : str
        Idempotency key that the service received.
    order : str
        Name of the order that the call was made for.
    body : str
    started_at, ended_at : float
        Simulation time, seconds.
    result : str
    """

    service: str
    key: str
    order: str
    body: str
    started_at: float
    ended_at: float
    result: str


class FakeService:
    """Fake service whose addresses share one log.

    Attributes
    ----------
    config : Service
    log : list of Run
    """

    __slots__ = ('config', 'log')

    def __init__(self, config):
        self.config = config
        self.log = []

    def run(self, call, now, duration_s, wall_deadline):
        """Start an arrived call, or find the run of a deduplicated key.

        Returns
        -------
        Run or None
            None if the service refuses to start the call because its
            deadline has passed.
        """
        if self.config.lookup and now >= wall_deadline:
            return None
        if self.config.deduplicates:
            known = self.find(call.key)
            if known is not None:
                return known
        run = Run(
            service=self.config.name,
            key=call.key,
            order=call.order,
            body=call.body,
            started_at=now,
            ended_at=now + duration_s,
            result=f'receipt {len(self.log)} of {self.config.name}',
        )
        self.log.append(run)
        return run

    def look_up(self, call, now):
        """Return the state of the key that a lookup asks for."""
        answer = inputs.KeyLookupReturned(
            call.order, True, lookup_number=call.lookup_number
        )
        run = self.find(call.key)
        if run is None:
            return answer
        if now < run.ended_at:
            return dataclasses.replace(answer, started=True)
        return dataclasses.replace(
            answer, found=True, status=200, body=run.result
        )

    def find(self, key):
        """Return the first run of a key, or None."""
        for run in self.log:
            if run.key == key:
                return run
        return None
