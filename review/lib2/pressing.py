"""Callers that the operators don't control, beside ordinary ones.

The platform of these cases does what the deploy page says: it ends a process
that exceeds the memory of its machine, and starts it again a moment later.
"""

import asyncio
import contextlib
import signal

import small_fleet
from small_fleet import standins

# Time between the end of a process and its next start, seconds.
_RESTART_S = 1.0
_SAMPLE_S = 0.02

# Ordinary callers: their interval, and the time that they wait, seconds.
_INTERVAL_S = 0.25
_WAIT_S = 1.5

# The rule counts a machine once its processes have ended so often.
_ENDS = 3


class WatchedMachine:
    """A machine under the eyes of the platform.

    Attributes
    ----------
    ends : int
        How often its process ended for its memory, or by itself.
    peak_mb : float
        Largest resident memory, MB of 2^20 bytes.
    """

    def __init__(self, machine, record):
        self.machine = machine
        self.ends = 0
        self.peak_mb = 0.0
        self._record = record

    async def watch(self):
        """End the process when it exceeds its memory, and start it again."""
        machine = self.machine
        limit_mb = machine.settings['limits']['memory_mb']
        while True:
            await asyncio.sleep(_SAMPLE_S)
            used_mb = machine.get_memory_mb()
            self.peak_mb = max(self.peak_mb, used_mb)
            if machine.is_running and used_mb <= limit_mb:
                continue
            if machine.is_running:
                reason = f'{used_mb:.0f} MB of {limit_mb} MB, killed'
                machine.signal(signal.SIGKILL)
                await machine.wait(5.0)
            else:
                reason = f'exit status {machine.status}'
            self.ends += 1
            self._record.write(
                f'{machine.name}: process ended ({reason}), end {self.ends}'
            )
            await asyncio.sleep(_RESTART_S)
            machine.settings['first_start'] = False
            await machine.start()
            await machine.await_ready()
            self._record.write(f'{machine.name}: ready again')


class OrdinaryCallers:
    """Callers of one machine that stay inside the limits.

    Attributes
    ----------
    sent, answered, unanswered : int
    """

    def __init__(self, machine, record):
        self.sent = self.answered = self.unanswered = 0
        self._machine = machine
        self._record = record
        self._tasks = set()

    async def run(self):
        """Send one request each interval."""
        while True:
            self.sent += 1
            task = asyncio.create_task(self._send(self.sent))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(_INTERVAL_S)

    async def _send(self, number):
        request_id = f'{self._machine.name}-o{number}'
        began = self._record.now()
        try:
            async with asyncio.timeout(_WAIT_S):
                status, _, _ = await standins.send_request(
                    self._machine.front,
                    f'/unsafe/{number}',
                    body=b'x' * 600,
                    headers=[('X-Sniperudder-Request-Id', request_id)],
                )
            self.answered += 1
            outcome = f'answered {status}'
        except Exception as error:
            self.unanswered += 1
            outcome = f'no answer: {type(error).__name__}'
        self._record.write(f'order {request_id} sent {began:.3f}: {outcome}')


async def press(machine, count, attack):
    """Have a number of pressing callers at a machine, again and again.

    Parameters
    ----------
    machine : Machine
    count : int
    attack : callable
        Coroutine function of a reader and a writer; a new connection is
        opened when it has ended or its connection was closed.
    """

    async def run():
        host, _, port = machine.front.rpartition(':')
        while True:
            writer = None
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(host, int(port))
                await attack(reader, writer)
            if writer is not None:
                writer.transport.abort()
            await asyncio.sleep(0.5)

    await asyncio.gather(*(run() for _ in range(count)))


async def play(record, callers, attack, seconds):
    """Play two machines with pressing and ordinary callers; judge the rule.

    Parameters
    ----------
    record : Record
    callers : int
        Pressing callers of each machine.
    attack : callable
        See `press`.
    seconds : float
        Longest time; it ends sooner once the rule is broken.

    Returns
    -------
    int
        Exit status.
    """
    async with small_fleet.SmallFleet() as fleet:
        for number in range(3):
            await fleet.add_endpoint(
                standins.EndpointStandin(f'desk-{number}', 'desk')
            )
        fleet.configure(small_fleet.make_configuration())
        machines = [
            fleet.add_machine(f'front-{zone}-1', zone)
            for zone in ('north', 'south')
        ]
        for machine in machines:
            await machine.start()
        for machine in machines:
            await machine.await_ready()
        watched = [WatchedMachine(m, record) for m in machines]
        ordinary = [OrdinaryCallers(m, record) for m in machines]
        tasks = [asyncio.create_task(w.watch()) for w in watched]
        tasks += [asyncio.create_task(o.run()) for o in ordinary]
        # A calm moment first: what is served without trouble.
        await asyncio.sleep(3.0)
        for machine, calm in zip(machines, ordinary):
            record.write(
                f'{machine.name}: calm, {machine.get_memory_mb():.0f} MB, '
                f'ordinary orders: {calm.answered} of {calm.sent} answered'
            )
        if any(calm.unanswered for calm in ordinary):
            record.write('ordinary orders unanswered in calm')
            return small_fleet.NOT_RUN
        if small_fleet.has_trouble():
            record.write(f'{callers} pressing callers come to each machine')
            tasks += [
                asyncio.create_task(press(m, callers, attack))
                for m in machines
            ]
        until = record.now() + seconds
        while record.now() < until:
            await asyncio.sleep(0.1)
            for task in tasks:
                if task.done():
                    task.result()
            if all(w.ends >= _ENDS for w in watched):
                break
        for task in tasks:
            task.cancel()
        for seen, calls in zip(watched, ordinary):
            record.write(
                f'{seen.machine.name}: {seen.ends} ends, at most '
                f'{seen.peak_mb:.0f} MB, ordinary orders: {calls.sent} sent, '
                f'{calls.answered} answered, {calls.unanswered} unanswered'
            )
        for endpoint in fleet.endpoints:
            record.write(f'{endpoint.id}: ran {len(endpoint.requests)} orders')
        if all(w.ends >= _ENDS for w in watched):
            return small_fleet.BROKEN
        return small_fleet.HELD
