"""Random cases of requests beside silences, refusals, changes and restarts.

A case is drawn from a seed, played over loopback sockets, and judged by what
its callers and endpoints saw.
"""

import asyncio
import contextlib
import dataclasses
import random
import time
import unittest.mock

from sniperudder.entry import _entry
from sniperudder.entry.tests import _exit_callers
from sniperudder.entry.tests import _exit_changes
from sniperudder.entry.tests import _exit_endpoints
from sniperudder.entry.tests import _exit_judgement
from sniperudder.entry.tests import _exit_members
from sniperudder.entry.tests import _members
from standins import fleet as standins

__all__ = ['Case', 'Verdict', 'play']

# Shortest time between two moments in which the loop is held, seconds. The
# callers share it, and are held as well.
_HOLD_INTERVAL_S = 0.5


@dataclasses.dataclass(slots=True)
class Verdict:
    """What came of the requests of a case.

    Attributes
    ----------
    requests : int
    crossed : list of float
        Of each request that was not read because it crossed the end of its
        connection, the time from its sending to the closing, seconds.
        Negative if it was sent when the caller hadn't seen the end yet.
    let_go : int
        Requests that were cut after a run that had not broken off was ended
        for the sake of another one.
    faults : list of str
        What is wrong.
    """

    requests: int = 0
    crossed: list = dataclasses.field(default_factory=list)
    let_go: int = 0
    faults: list = dataclasses.field(default_factory=list)


class Case:
    """A random case, with a number of instances.

    Attributes
    ----------
    rng : random.Random
        Draws what happens beside the requests.
    store : StoreStandin
    endpoints : list of PlayedEndpoint
    members : list of PlayedMember
        The instances that run and are not stopping.
    runs : dict of str to list of Run
        By request id.
    requests : list of Request
    changes : list of (float, str)
        What was done, and when.
    timeouts : list of dict of str to float
        Timeouts of the routes in each version of the configuration, seconds.
    """

    def __init__(self, seed, count, light=False):
        self.count = count
        self.seed = seed
        self.light = light
        self.rng = random.Random(f'{seed} {count}')
        self.store = standins.StoreStandin()
        self.endpoints = []
        self.members = []
        self.runs = {}
        self.requests = []
        self.changes = []
        self.timeouts = []
        self._all_members = []
        self._began_at = 0.0
        self._may_hold_at = 0.0
        self._changes = _exit_changes.Changes(self)

    def now(self):
        """Return the time since the case began, seconds."""
        return asyncio.get_running_loop().time() - self._began_at

    def hold(self, seconds):
        """Hold the loop, unless it was held a moment ago."""
        if seconds and self.now() >= self._may_hold_at:
            time.sleep(seconds)
            self._may_hold_at = self.now() + _HOLD_INTERVAL_S

    async def play(self, conversations):
        """Play the case with a number of connections of callers.

        Returns
        -------
        Verdict
        """
        rng = self.rng
        async with self._run():
            tasks = [
                _exit_callers.Caller(self, number).converse(
                    rng.uniform(0.0, 2.2)
                )
                for number in range(conversations)
            ]
            for _ in range(rng.randint(3, 7)):
                action = rng.choice(_exit_changes.ACTIONS)
                tasks.append(self._changes.act(action, rng.uniform(0.0, 2.5)))
            await asyncio.gather(*tasks)
            await asyncio.sleep(0.3)
        return self._judge()

    @contextlib.asynccontextmanager
    async def _run(self):
        self._began_at = asyncio.get_running_loop().time()
        await self.store.start()
        self.endpoints = _exit_endpoints.create_endpoints(self)
        try:
            for endpoint in self.endpoints:
                await endpoint.start()
                endpoint.on_order = endpoint.list_again
                endpoint.list_in(self.store)
            self._changes.put(self._changes.make_configuration(), 'first')
            for number in range(self.count):
                await self.start_member(f'entry-{number}')
            await _members.wait_until(self._is_ready, _members.START_S)
            self._began_at = asyncio.get_running_loop().time()
            yield
        finally:
            for member in self._all_members:
                await member.instance.close()
            for endpoint in self.endpoints:
                await endpoint.stop()
            await self.store.stop()

    def _is_ready(self):
        return all(
            m.version and m.instance._T.endpoints_known for m in self.members
        )

    async def start_member(self, name, is_first_start=True):
        """Start an instance, which replaces one of the same name."""
        member = _exit_members.PlayedMember(self, name, is_first_start)
        self._all_members.append(member)
        await member.start()
        self.members = [m for m in self.members if m.name != name]
        self.members.append(member)
        return member

    def _judge(self):
        verdict = Verdict(requests=len(self.requests))
        verdict.faults = [
            f'seed {self.seed}: {member.name}: {subject} {fields}'
            for member in self._all_members
            for event, subject, fields in member.journal.lines
            if event == 'instance:fault'
        ]
        for request in self.requests:
            judgement = _exit_judgement.Judgement(self, request)
            found = judgement.list_faults()
            if found:
                verdict.faults.append(self._describe(request, found))
            if judgement.crossed_s is not None:
                verdict.crossed.append(round(judgement.crossed_s, 3))
            verdict.let_go += judgement.is_let_go
        return verdict

    def _describe(self, request, found):
        lines = [
            f'seed {self.seed}, {self.count} instances: {found}',
            f'  caller: {request} {request.answer[:400]}',
            f'  changes: {self.changes}',
        ]
        lines += [f'  endpoint: {r}' for r in self.runs.get(request.id, ())]
        lines += [f'  log: {line}' for line in self.list_lines(request)]
        lines += [
            f'  log: {line}'
            for line in request.instance.journal.lines
            if line[0] == 'connection:closed'
        ]
        return '\n'.join(lines)

    def list_lines(self, request):
        """Return the lines of all journals about a request."""
        return [
            line
            for member in self._all_members
            for line in member.journal.lines
            if line[1] == request.id
        ]

    def get_time_s(self, request, version):
        """Return the time that a request has with a version, seconds."""
        timeouts = self.timeouts[version - 1] if version else {}
        return min(request.wait_s, timeouts.get(request.route, float('inf')))


def play(seed, count, conversations, light=False):
    """Play a case; return its `Verdict`."""
    with unittest.mock.patch.object(
        _entry, '_ACCEPT_AFTER_SIGTERM_S', _exit_members.ACCEPT_S
    ):
        return asyncio.run(Case(seed, count, light).play(conversations))
