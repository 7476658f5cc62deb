"""A simulated fleet whose engines crash, for tests of the crash table."""

import dataclasses
import heapq
import itertools

from sniperudder import routing
from sniperudder.routing import _crashes

_DIGEST_INTERVAL_S = 0.25
_PREFILL_S = 0.08
_BACK_AFTER_S = 4.0
_MAX_ATTEMPTS = 2


@dataclasses.dataclass(slots=True)
class Request:
    """A request of the simulation."""

    number: int
    keys: frozenset
    crashes: bool
    instance: int
    sent_at: float
    attempts: int = 0
    engine: int | None = None
    began_at: float | None = None
    survived: bool = False


class CrashFleet:
    """Instances with a crash table each, before a few engines.

    Parameters
    ----------
    rng : random.Random
    instances, engines : int

    Attributes
    ----------
    crashes : list of float
        Time of each crash by a request, seconds.
    sends : list of (float, int, bool)
        Time, instance and whether the request crashes engines.
    first_attempts : list of (float, bool)
        Time of each sound request, and whether it was sent at once.
    lost_digests : float
        Probability that a digest is lost.
    """

    def __init__(self, rng, instances=4, engines=5):
        self.now = 0.0
        self.crashes = []
        self.sends = []
        self.first_attempts = []
        self.lost_digests = 0.1
        self.started_at = [float('-inf')] * instances
        self.tables = [routing.CrashTable() for _ in range(instances)]
        self.blocks = set()
        self._rng = rng
        self._runs = [1] * engines
        self._up = [True] * engines
        self._running = [{} for _ in range(engines)]
        self._events = []
        self._numbers = itertools.count()
        for instance in range(instances):
            self._call(rng.uniform(0, 0.25), self._send_digest, instance)

    def run(self, until):
        """Process events up to a time, seconds."""
        while self._events and self._events[0][0] <= until:
            self.now, _, function, arguments = heapq.heappop(self._events)
            function(*arguments)
        self.now = until

    def add_load(self, per_s, make_keys, crashes, start, end):
        """Add requests at a mean rate between two times."""
        at = start
        while (at := at + self._rng.expovariate(per_s)) < end:
            number = next(self._numbers)
            request = Request(
                number,
                frozenset(make_keys(number)),
                crashes,
                self._rng.randrange(len(self.tables)),
                at,
            )
            self._call(at - self.now, self._send, request)

    def restart_instance(self, at, instance):
        """Replace an instance by one that knows nothing."""
        self._call(at - self.now, self._restart_instance, instance)

    def crash_rack(self, at, engines):
        """Let several engines crash together, whatever they run."""
        for engine in engines:
            jitter_s = self._rng.uniform(0, 0.01)
            self._call(at - self.now + jitter_s, self._crash, engine)

    def reset_connections(self, at, engine):
        """Interrupt what an engine runs; it goes on."""
        self._call(at - self.now, self._interrupt, engine, False)

    def _call(self, delay_s, function, *arguments):
        entry = self.now + delay_s, next(self._numbers), function, arguments
        heapq.heappush(self._events, entry)

    def _restart_instance(self, instance):
        self.tables[instance] = routing.CrashTable()
        self.started_at[instance] = self.now

    def _send(self, request):
        up = [number for number, is_up in enumerate(self._up) if is_up]
        table = self.tables[request.instance]
        blocked = table.find_block(request.keys) is not None
        if not request.crashes and not request.attempts:
            self.first_attempts.append((self.now, bool(up) and not blocked))
        if blocked or not up:
            return
        request.attempts += 1
        request.engine = self._rng.choice(up)
        request.began_at = None
        self.sends.append((self.now, request.instance, request.crashes))
        self._running[request.engine][request.number] = request
        self._call(_PREFILL_S, self._begin, request, request.attempts)

    def _begin(self, request, attempt):
        if not self._is_running(request, attempt):
            return
        request.began_at = self.now
        if request.crashes:
            delay_s = self._rng.uniform(0.02, 0.1)
            self._call(delay_s, self._crash_by, request, attempt)
            return
        self._call(routing.SURVIVAL_S, self._survive, request, attempt)
        duration_s = self._rng.uniform(0.2, 3.0)
        self._call(duration_s, self._complete, request, attempt)

    def _is_running(self, request, attempt):
        running = self._running[request.engine]
        return request.attempts == attempt and request.number in running

    def _survive(self, request, attempt):
        if self._is_running(request, attempt):
            table = self.tables[request.instance]
            table.record_survival(request.keys, self.now)
            request.survived = True

    def _complete(self, request, attempt):
        if self._is_running(request, attempt):
            self._survive(request, attempt)
            del self._running[request.engine][request.number]

    def _crash_by(self, request, attempt):
        if self._is_running(request, attempt):
            self.crashes.append(self.now)
            self._crash(request.engine)

    def _crash(self, engine):
        if not self._up[engine]:
            return
        self._up[engine] = False
        self._interrupt(engine, True)
        self._call(_BACK_AFTER_S, self._come_back, engine)

    def _come_back(self, engine):
        self._runs[engine] += 1
        self._up[engine] = True

    def _interrupt(self, engine, crashed):
        run_id = f'gpu-{engine}', self._runs[engine]
        requests = list(self._running[engine].values())
        self._running[engine].clear()
        for request in requests:
            table = self.tables[request.instance]
            if not request.survived:
                table.record_interruption(request.keys, [run_id], self.now)
            if crashed:
                delay_s = self._rng.uniform(0.001, 0.005)
                instance = request.instance
                self._call(delay_s, self._confirm, instance, run_id)
            if request.attempts < _MAX_ATTEMPTS:
                request.survived = False
                self._call(0.006, self._send, request)

    def _confirm(self, instance, run_id):
        self.tables[instance].record_run_end(run_id, self.now)

    def _send_digest(self, sender):
        table = self.tables[sender]
        table.update(self.now)
        self.blocks.update(table.list_blocks())
        report = table.make_report(self.now)
        for receiver in range(len(self.tables)):
            if receiver != sender and self._rng.random() > self.lost_digests:
                # Some arrive after the next one.
                delay_s = self._rng.choice((0.001, 0.002, 0.3))
                self._call(delay_s, self._receive, receiver, report)
        self._call(_DIGEST_INTERVAL_S, self._send_digest, sender)

    def _receive(self, receiver, report):
        self.tables[receiver].apply_report(report, self.now)


def make_table(*crashes, start=0.0):
    """Return a table with one crash a second by the given keys."""
    table = _crashes.CrashTable()
    for number, keys in enumerate(crashes):
        run_id = f'gpu-{number}', 1
        table.record_interruption(keys, [run_id], start + number)
        table.record_run_end(run_id, start + number)
    return table
