"""What happens beside the requests of random cases."""

import asyncio
import dataclasses

from sniperudder.entry.tests import _exit_endpoints
from sniperudder.entry.tests import _fleets
from standins import fleet as standins

__all__ = ['ACTIONS', 'Changes']

_KINDS = ('route', 'timeout', 'keys', 'limits', 'idle', 'removed')
ACTIONS = (*_KINDS, 'several', 'back', 'reload', 'budget', 'stop')
ACTIONS += ('silence', 'silence', 'leaving', 'rate limit')


class Changes:
    """Changes of the configuration, of instances and of endpoints."""

    def __init__(self, case):
        self._case = case

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
            new['limits']['idle_timeout_ms'] = 1_200
        elif kind == 'removed':
            new['routes'] = [rng.choice(new['routes'])]
        self.put(new, kind)

    async def act(self, action, after_s):
        """Do something after a time."""
        await asyncio.sleep(after_s)
        rng = self._case.rng
        member = rng.choice(self._case.members)
        kinds = {'several': rng.choices(_KINDS, k=3)}
        kinds['back'] = [rng.choice(_KINDS), 'none']
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
            member.stop_at = self._case.now()
            await member.instance.stop()
            await self._case.start_member(member.name, is_first_start=False)
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
