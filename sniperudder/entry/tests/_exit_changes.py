"""What happens beside the requests of random cases."""

import asyncio
import dataclasses
import itertools

from sniperudder.entry.tests import _exit_callers
from sniperudder.entry.tests import _exit_endpoints
from sniperudder.entry.tests import _exit_members
from sniperudder.entry.tests import _fleets
from standins import fleet as standins

__all__ = ['ACTIONS', 'Changes']

_MORE_ROUTES = 1_480

# Time after which an entry that has lapsed comes back, seconds.
_LAPSE_S = 0.9

_KINDS = ('route', 'timeout', 'keys', 'limits', 'idle', 'removed', 'large')
ACTIONS = (*_KINDS, 'several', 'back', 'reload', 'budget', 'stop')
ACTIONS += ('silence', 'silence', 'leaving', 'rate limit', 'hold')
ACTIONS += ('lapse', 'lapse', 'lapse of all', 'storm', 'idle', 'idle', 'stop')


class Changes:
    """Changes of the configuration, of instances and of endpoints."""

    def __init__(self, case):
        self._case = case
        self._numbers = itertools.count()

    def make_configuration(self):
        """Return a configuration as it is without changes."""
        engine = standins.make_engine(accelerators=_fleets.ACCELERATORS)
        configuration = standins.make_configuration(engine=engine)
        kiosk = {**configuration['services'][0], 'name': 'kiosk'}
        configuration['services'].append(kiosk)
        configuration['limits']['header_timeout_ms'] = 1_500
        for route in configuration['routes']:
            if route['name'] in ('stream', 'safe'):
                route['max_attempts'] = self._case.rng.randint(2, 4)
        return configuration

    def put(self, configuration, kind):
        """Put a configuration, whose version is the next one."""
        timeouts = {
            route['name']: route['timeout_ms'] / 1000
            for route in configuration['routes']
        }
        self._case.timeouts.append(timeouts)
        configuration['version'] = len(self._case.timeouts)
        self._case.changes.append((self._case.now(), kind))
        self._case.store.put_json('op', 'config', configuration)
        if self._case.light:
            loop = asyncio.get_running_loop()
            for member in self._case.members:
                loop.call_later(
                    self._case.rng.uniform(0.0, 0.2),
                    member.apply_configuration,
                )

    def _change(self, kind):
        """Put a configuration in which one thing has changed."""
        rng, new = self._case.rng, self.make_configuration()
        if kind == 'route':
            for route in new['routes']:
                route['service'] = rng.choice((route['service'], 'kiosk'))
        elif kind == 'timeout':
            for route in new['routes']:
                route['timeout_ms'] = rng.randint(100, 1_500)
        elif kind == 'keys':
            new['tenants'] = []
        elif kind == 'limits':
            new['limits']['max_body_bytes'] = 500
            new['limits']['max_header_bytes'] = 4_096
        elif kind == 'idle':
            timeouts_ms = 400, 800, 1_200, 2_400
            new['limits']['idle_timeout_ms'] = rng.choice(timeouts_ms)
        elif kind == 'large':
            new['routes'] += self._list_more_routes()
        elif kind == 'removed':
            new['routes'] = [rng.choice(new['routes'])]
        self.put(new, kind)

    def _list_more_routes(self):
        """Return the routes of a large site that no request takes.

        The instances of a case share one loop, and these routes.
        """
        (template,) = [
            route
            for route in standins.make_configuration()['routes']
            if route['name'] == 'safe'
        ]
        return [
            {**template, 'name': f'more-{n}', 'prefix': f'/more-{n}/'}
            for n in range(_MORE_ROUTES // self._case.count)
        ]

    async def _lapse(self, endpoints):
        """Have entries lapse; some come back."""
        rng, case = self._case.rng, self._case
        returns = rng.random() < 0.6
        for endpoint in endpoints:
            endpoint.lapse()
        self._spread_endpoints()
        await asyncio.sleep(_LAPSE_S)
        for endpoint in endpoints:
            if returns:
                endpoint.end_lapse()
        self._spread_endpoints()
        case.changes.append((case.now(), f'lapse over, {returns=}'))

    def _spread_endpoints(self):
        """Have light instances learn the list of endpoints."""
        if self._case.light:
            loop = asyncio.get_running_loop()
            for member in self._case.members:
                loop.call_later(
                    self._case.rng.uniform(0.0, 0.2), member.apply_endpoints
                )

    async def _stop(self, member):
        """Stop an instance at which requests arrive in the last moments."""
        rng, case = self._case.rng, self._case
        member.stop_at = case.now()
        callers = []
        for _ in range(rng.choice((0, 2))):
            number = f'held-{next(self._numbers)}'
            caller = _exit_callers.Caller(case, number)
            hold_s = rng.uniform(*_exit_callers.HOLD_S)
            ends_s = rng.choice((_exit_members.ACCEPT_S, 1.0, 1.2))
            after_s = max(ends_s - rng.random() * hold_s, 0.0)
            callers.append(caller.arrive_held(member, after_s, hold_s))
        await asyncio.gather(member.instance.stop(), *callers)
        await case.start_member(member.name, is_first_start=False)

    async def act(self, action, after_s):
        """Do something after a time."""
        await asyncio.sleep(after_s)
        rng = self._case.rng
        member = rng.choice(self._case.members)
        kinds = {'several': rng.choices(_KINDS, k=3)}
        kinds['back'] = [rng.choice(_KINDS), 'none']
        kinds['storm'] = [*rng.choices((*_KINDS, 'large'), k=7), 'none']
        if action in (*_KINDS, *kinds):
            for kind in kinds.get(action, [action]):
                self._change(kind)
                await asyncio.sleep(0.03)
            return
        self._case.changes.append((self._case.now(), action))
        if action == 'reload':
            bounds = member.settings.bounds
            ratio = rng.choice((0.0, 0.5))
            bounds = dataclasses.replace(bounds, retry_ratio=ratio)
            member.settings = dataclasses.replace(
                member.settings, bounds=bounds
            )
            member.instance._reload()
        elif action == 'budget':
            forwarder = member.instance._forwarder
            for service in ('llm', 'desk', 'kiosk'):
                budget = forwarder.get_budget(service)
                budget.set_limits(0.0, 10.0)
                while budget.spend(forwarder.now(), forwarder._get_slack()):
                    pass
        elif action == 'stop' and member.stop_at is None:
            await self._stop(member)
        elif action == 'hold':
            self._case.hold(rng.uniform(*_exit_callers.HOLD_S))
        elif action == 'lapse':
            await self._lapse([rng.choice(self._case.endpoints)])
        elif action == 'lapse of all':
            service = rng.choice(('llm', 'desk', 'kiosk', ''))
            await self._lapse(
                [
                    endpoint
                    for endpoint in self._case.endpoints
                    if endpoint.service.startswith(service)
                ]
            )
        elif action == 'silence':
            service = rng.choice(('llm', 'desk', ''))
            until = self._case.now() + rng.uniform(
                0.2, _exit_endpoints.SILENCE_S
            )
            for endpoint in self._case.endpoints:
                if endpoint.service.startswith(service):
                    endpoint.silent_until = until
        elif action == 'leaving':
            rng.choice(self._case.endpoints).notices = [
                ('Server-Leaving', '1')
            ]
        elif action == 'rate limit':
            limit = f'{rng.uniform(1.0, 9.0):.1f}'
            rng.choice(self._case.endpoints).notices = [
                ('Server-Limit', limit)
            ]
