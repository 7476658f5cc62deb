"""Giving the orders that place layers."""

import asyncio
import json
import time

from sniperudder import fleet
from sniperudder import forwarding
from sniperudder import placement
from sniperudder import platform

_LEASE_KEY = 'placement'

# Seconds between two looks at what is missing.
_TICK_S = 0.25

# Time without a new endpoint, and longest time since the first one, after
# which layers are planned: endpoints that start together are planned
# together. Their entries come within a heartbeat (1.2 s) of each other.
_SETTLE_S = 0.8
_MAX_SETTLE_S = 3.0

# Longest wait for the answer to an order, seconds.
_ORDER_TIMEOUT_S = 1.0

# Time beyond loading after which an order that shows no effect is given
# again, seconds: three heartbeats.
_EFFECT_SLACK_S = 4.0

# Shortest time between two moves in a data centre, seconds: the first one
# has loaded by then, and shows.
_MOVE_S = 4.0

_OK = 200
_ACCEPTED = 202
_CONFLICT = 409
_MISDIRECTED = 421


class _Order:
    __slots__ = ('begun', 'given_at', 'layers', 'orders')

    def __init__(self, layers, orders=0):
        self.layers = layers
        self.given_at = None
        # Orders that the endpoint has begun; None where that is unknown.
        self.orders = orders
        self.begun = False


class Placer:
    """Holds or watches the lease, and places layers while holding it.

    Parameters
    ----------
    T : sniperudder.fleet.FleetTables
    store : sniperudder.platform.Store
    pool : sniperudder.forwarding.ChannelPool
        For calls to endpoints.
    name : str
        Name of this instance.
    journal : Journal
    """

    def __init__(self, T, store, pool, name, journal):
        self._T = T
        self._store = store
        self._engines = forwarding.EngineCaller(pool, _ORDER_TIMEOUT_S)
        self._name = name
        self._journal = journal
        self._view = placement.LeaseView()
        self._orders = {}
        self._under_way = set()
        self._moved_at = {}
        self._empty = set()
        self._changed_at = 0.0
        self._settling_at = None

    @property
    def lease_version(self):
        """Version of the lease, or 0 where this instance may not order."""
        if placement.may_order(self._view, _read_clock()):
            return self._view.version
        return 0

    def hear_lease(self, version):
        """Take in that another instance holds a version of the lease."""
        if version > self._view.version:
            placement.observe_lease(self._view, version, _read_clock())

    async def run_lease(self):
        """Renew the lease, or look whether it is free, until cancelled."""
        while True:
            now = _read_clock()
            if self._view.held_at is not None or (
                placement.may_take(self._view, now) and self._view.seen_at
            ):
                await self._write_lease(now)
            elif now - self._view.seen_at > placement.LOOK_S:
                # Nobody told of a renewal lately.
                await self._read_lease(now)
            if self._view.held_at is not None:
                await asyncio.sleep(placement.RENEW_S)
            elif not placement.may_take(self._view, _read_clock()):
                await asyncio.sleep(placement.LOOK_S)
            else:
                await asyncio.sleep(_TICK_S)

    async def run_orders(self):
        """Place layers whenever this instance holds the lease."""
        while True:
            await asyncio.sleep(_TICK_S)
            if placement.may_order(self._view, _read_clock()):
                self._give_orders()

    async def _read_lease(self, now):
        outcome = await self._store.read_table(platform.DUTIES_TABLE)
        if isinstance(outcome, platform.Unavailable):
            self._note_unread(outcome)
            return
        versions = [
            row.version for row in outcome.rows if row.key == _LEASE_KEY
        ]
        placement.observe_lease(self._view, max(versions, default=0), now)
        # A look that found no row also counts as one.
        self._view.seen_at = self._view.seen_at or now

    async def _write_lease(self, now):
        held = self._view.held_at is not None
        outcome = await self._store.write_row(
            platform.DUTIES_TABLE,
            _LEASE_KEY,
            json.dumps({'holder': self._name}).encode(),
            self._view.version,
        )
        if isinstance(outcome, platform.Written):
            placement.record_renewal(self._view, outcome.version, now)
            if not held:
                self._orders.clear()
                self._journal.write(
                    'lease:taken', _LEASE_KEY, version=outcome.version
                )
            return
        if isinstance(outcome, platform.Conflict):
            version = max((row.version for row in outcome.rows), default=0)
            placement.observe_lease(self._view, version, now)
            if held:
                self._journal.write('lease:lost', _LEASE_KEY, version=version)
            return
        self._note_unread(outcome)
        if held and not placement.may_order(self._view, _read_clock()):
            # Whether the renewal took effect is unknown; look first.
            self._view.held_at = None
            self._journal.write(
                'lease:lost', _LEASE_KEY, reason=outcome.reason
            )

    def _note_unread(self, outcome):
        self._journal.write(
            'lease:unread',
            _LEASE_KEY,
            reason=outcome.reason,
            version=self._view.version,
        )

    def _give_orders(self):
        configuration = self._T.configuration
        if configuration is None or not self._T.endpoints_known:
            return
        now = _read_clock()
        if not self._has_settled(now):
            return
        for service in configuration.services.values():
            if service.engine is not None and service.engine.layers:
                self._place_service(service, now)

    def _has_settled(self, now):
        """Tell whether no endpoint became empty for a while.

        Once layers lie somewhere, an empty endpoint is given some at once.
        """
        if any(e.layers is not None for e in self._T.endpoints.values()):
            return True
        empty = {
            (endpoint.id, endpoint.born_ms)
            for endpoint in self._T.endpoints.values()
            if endpoint.layers is None and endpoint.card
        }
        if not empty - self._empty:
            self._empty = empty
            settled = now - self._changed_at >= _SETTLE_S
            if settled:
                self._settling_at = None
            return settled
        self._empty = empty
        self._changed_at = now
        if self._settling_at is None:
            self._settling_at = now
        return now - self._settling_at >= _MAX_SETTLE_S

    def _place_service(self, service, now):
        engine = service.engine
        endpoints = fleet.list_endpoints(self._T, service.name)
        held = self._list_held(engine, endpoints, now)
        plan = placement.plan_layers(engine, endpoints, held)
        for endpoint in endpoints:
            if endpoint.id in plan:
                self._orders[_make_key(endpoint)] = _Order(plan[endpoint.id])
        self._plan_moves(engine, endpoints, {**held, **plan}, now)
        for endpoint in endpoints:
            self._give_order(engine, endpoint)

    def _list_held(self, engine, endpoints, now):
        """Return what endpoints hold, or were ordered to hold."""
        held = {}
        for endpoint in endpoints:
            key = _make_key(endpoint)
            order = self._orders.get(key)
            if order is not None and endpoint.layers == order.layers:
                del self._orders[key]
                order = None
            if order is not None:
                held[endpoint.id] = order.layers
                wait_s = engine.load_s + _EFFECT_SLACK_S
                if order.begun and now - order.given_at > wait_s:
                    order.begun = False
            elif endpoint.layers is not None:
                held[endpoint.id] = endpoint.layers
        return held

    def _plan_moves(self, engine, endpoints, held, now):
        """Order one move in each data centre that lacks layers."""
        for centre in sorted({e.data_centre for e in endpoints}):
            if now - self._moved_at.get(centre, -_MOVE_S) < _MOVE_S:
                continue
            endpoint, layers = placement.plan_move(
                engine, endpoints, held, centre
            )
            if endpoint is None or _make_key(endpoint) in self._orders:
                continue
            self._moved_at[centre] = now
            self._orders[_make_key(endpoint)] = _Order(layers, orders=None)
            self._journal.write(
                'order:planned',
                endpoint.id,
                data_centre=centre,
                before=[endpoint.layers.start, endpoint.layers.end],
                layers=[layers.start, layers.end],
            )

    def _give_order(self, engine, endpoint):
        key = _make_key(endpoint)
        order = self._orders.get(key)
        if order is None or order.begun or key in self._under_way:
            return
        if not placement.fits_memory(engine, endpoint.card, order.layers):
            self._journal.write('order:dropped', endpoint.id, reason='memory')
            return
        self._under_way.add(key)
        task = asyncio.create_task(self._order_endpoint(endpoint, order))
        task.add_done_callback(lambda _: self._under_way.discard(key))

    async def _order_endpoint(self, endpoint, order):
        order.given_at = _read_clock()
        if order.orders is None:
            await self._read_orders(endpoint, order)
            if order.orders is None or order.begun:
                return
        body = platform.make_place_order(order.layers, order.orders)
        reply = await self._engines.give_order(endpoint, body)
        if isinstance(reply, forwarding.Unanswered):
            self._note_order(endpoint, order, f'no answer: {reply.reason}')
            return
        self._note_order(endpoint, order, f'status {reply.status}')
        if reply.status in (_OK, _ACCEPTED, _MISDIRECTED):
            # Another endpoint has the address: the list is about to tell.
            order.begun = True
        elif reply.status == _CONFLICT:
            await self._read_orders(endpoint, order)

    async def _read_orders(self, endpoint, order):
        """Learn how many orders the endpoint has begun, and what it holds."""
        report = await self._engines.read_report(endpoint)
        if isinstance(report, forwarding.Unanswered):
            self._note_order(endpoint, order, f'no report: {report.reason}')
            return
        order.orders = report.orders
        # An order that went without an answer may have begun after all.
        order.begun = report.busy or report.layers == order.layers

    def _note_order(self, endpoint, order, outcome):
        self._journal.write(
            'order:given',
            endpoint.id,
            address=endpoint.address,
            layers=[order.layers.start, order.layers.end],
            orders_begun=order.orders,
            lease=self._view.version,
            outcome=outcome,
        )


def _make_key(endpoint):
    return endpoint.id, endpoint.born_ms


def _read_clock():
    return time.clock_gettime(time.CLOCK_BOOTTIME)
