"""A small stand-in for plain services, with a log of what was run."""

import dataclasses

from sniperudder import inputs


@dataclasses.dataclass(slots=True)
class Run:
    """One run in a service's log.

    Attributes
    ----------
    service : str
    key : str
        Idempotency key as the service saw it.
    order : str
        Name of the order that the call was made for.
    body : str
    started_at, ended_at : float
        World time, seconds.
    result : str
    """

    service: str
    key: str
    order: str
    body: str
    started_at: float
    ended_at: float
    result: str


class ServiceStand:
    """A service of one kind, shared by all of its workers.

    Attributes
    ----------
    record : Service
    log : list of Run
    """

    __slots__ = ('record', 'log')

    def __init__(self, record):
        self.record = record
        self.log = []

    def run(self, call, now, duration_s, wall_deadline):
        """Start a call that has arrived.

        Returns
        -------
        Run or None
            None where the service says that it does not start the call.
        """
        if self.record.lookup and now >= wall_deadline:
            return None
        if self.record.deduplicates:
            known = self.find(call.key)
            if known is not None:
                return known
        run = Run(
            service=self.record.name,
            key=call.key,
            order=call.order,
            body=call.body,
            started_at=now,
            ended_at=now + duration_s,
            result=f'receipt {len(self.log)} of {self.record.name}',
        )
        self.log.append(run)
        return run

    def tell(self, call, now):
        """Return what became of the key that a question is about."""
        told = inputs.ServiceTold(call.order, True, question=call.question)
        run = self.find(call.key)
        if run is None:
            return told
        if now < run.ended_at:
            return dataclasses.replace(told, started=True)
        return dataclasses.replace(
            told, found=True, status=200, body=run.result
        )

    def find(self, key):
        """Return the first run of a key, or None."""
        for run in self.log:
            if run.key == key:
                return run
        return None
