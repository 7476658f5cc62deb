"""Placement of layers by orders to endpoints."""

import asyncio
import json
import time

from sniperudder import clocks
from sniperudder import fleet
from sniperudder import forwarding
from sniperudder import placement
from sniperudder import platform
from sniperudder import revisions

_LEASE_KEY = 'placement'

# Interval at which an instance that does not compete for the lease checks
# whether it should, seconds.
_COMPETE_INTERVAL_S = 0.5

# Delays between two calls for the lease while the store does not answer,
# seconds; the delay doubles with each. In an outage all instances compete.
_MIN_LEASE_BACKOFF_S = 0.25
_MAX_LEASE_BACKOFF_S = 4.0

# Interval between checks for missing layers.
_CHECK_INTERVAL_S = 0.25

# Layers are planned once no new endpoint has appeared for the settle time, or
# once the maximum has passed since the first one, so that endpoints that start
# together are planned together. Their rows appear within one heartbeat (1.2 s)
# of each other.
_SETTLE_S = 0.8
_MAX_SETTLE_S = 3.0

_ORDER_TIMEOUT_S = 1.0

# An order without visible effect is sent again after the loading time plus
# this margin of three heartbeats.
_ORDER_EFFECT_MARGIN_S = 4.0

# Minimum time between moves in one data centre, after which the layers of the
# previous move are loaded and listed.
_MIN_MOVE_INTERVAL_S = 4.0

_OK = 200
_ACCEPTED = 202
_CONFLICT = 409
_MISDIRECTED = 421


class _Order:
    __slots__ = ('awaiting_effect', 'layers', 'orders_begun', 'sent_at')

    def __init__(self, layers, orders_begun=0):
        self.layers = layers
        self.sent_at = None
        # Number of orders that the endpoint has begun; None if unknown.
        self.orders_begun = orders_begun
        self.awaiting_effect = False


class Placer:
    """Competes for the placement lease and places layers while holding it.

    Parameters
    ----------
    T : sniperudder.fleet.FleetTables
    store : sniperudder.platform.Store
    pool : sniperudder.forwarding.ConnectionPool
        Connections for calls to endpoints.
    name : str
        Name of this instance.
    journal : Journal
    may_compete : callable
        Returns whether this instance should take over an expired lease.
    is_first_start : bool
        Whether the whole deployment starts for the first time.
    """

    def __init__(
        self,
        T,
        store,
        pool,
        name,
        journal,
        may_compete=lambda: True,
        is_first_start=False,
    ):
        self._T = T
        self._store = store
        self._engine_client = forwarding.EngineClient(
            pool, _ORDER_TIMEOUT_S, forwarding.NoticeRecorder(T, journal)
        )
        self._name = name
        self._journal = journal
        self._may_compete = may_compete
        self._is_first_start = is_first_start
        self._lease_taken = asyncio.Event()
        self._lease = placement.LeaseView()
        # Delay until the next call for the lease; None if the store answered
        # the last one.
        self._lease_backoff_s = None
        self._orders = {}
        self._in_flight = set()
        # Checks of engines that are no longer listed, by run.
        self._checks = {}
        self._last_move_at = {}
        self._empty_endpoints = set()
        self._empty_changed_at = 0.0
        self._settling_since = None

    @property
    def lease_revision(self):
        """Revision of the lease; None if this instance may send no orders."""
        if placement.may_order(self._lease, _read_boot_time()):
            return self._lease.revision
        return None

    def record_peer_lease(self, revision):
        """Record the revision of a lease held by another instance."""
        if revision > self._lease.revision:
            self._log_loss(revision)
            placement.observe_lease(self._lease, revision, _read_boot_time())

    def handle_restored(self, era):
        """Give up the lease, which the store may have given to another."""
        self._log_loss(revisions.Revision(era, 0))
        self._lease = placement.LeaseView()

    async def maintain_lease(self):
        """Renew the lease or try to acquire it until cancelled."""
        while True:
            now = _read_boot_time()
            holds = self._lease.renewal_requested_at is not None
            if not holds and not self._may_compete():
                await asyncio.sleep(_COMPETE_INTERVAL_S)
                continue
            if holds or self._may_acquire(now):
                await self._write_lease(now)
            elif now - self._lease.seen_at > placement.LEASE_POLL_INTERVAL_S:
                # No peer has reported a renewal recently.
                await self._read_lease(now)
            if self._lease.renewal_requested_at is not None:
                await asyncio.sleep(placement.LEASE_RENEWAL_INTERVAL_S)
            elif self._lease_backoff_s is not None:
                await asyncio.sleep(self._lease_backoff_s)
            elif self._lease.seen_at and not self._may_acquire(
                _read_boot_time()
            ):
                await asyncio.sleep(placement.LEASE_POLL_INTERVAL_S)
            else:
                await asyncio.sleep(_CHECK_INTERVAL_S)

    def _may_acquire(self, now):
        is_first_era = self._lease.revision.era == self._store.first_era
        return placement.may_acquire(
            self._lease, now, self._is_first_start and is_first_era
        )

    async def run_placement(self):
        """Place layers whenever this instance holds the lease."""
        while True:
            if self._lease.renewal_requested_at is None:
                self._lease_taken.clear()
                await self._lease_taken.wait()
            await asyncio.sleep(_CHECK_INTERVAL_S)
            if placement.may_order(self._lease, _read_boot_time()):
                self._place_layers()

    async def _read_lease(self, now):
        outcome = await self._store.read_table(platform.LEASES_TABLE)
        if isinstance(outcome, platform.Unavailable):
            self._log_lease_failure(outcome)
            return
        self._lease_backoff_s = None
        found = [row for row in outcome.rows if row.key == _LEASE_KEY]
        self._observe_rows(found, outcome.revision.era, now)
        # A read that found no row also counts as an observation.
        self._lease.seen_at = self._lease.seen_at or now

    async def _write_lease(self, now):
        held = self._lease.renewal_requested_at is not None
        outcome = await self._store.write_row(
            platform.LEASES_TABLE,
            _LEASE_KEY,
            json.dumps({'holder': self._name}).encode(),
            self._lease.revision,
        )
        if not isinstance(outcome, platform.Unavailable):
            self._lease_backoff_s = None
        if isinstance(outcome, platform.Written):
            placement.record_renewal(self._lease, outcome.revision, now)
            self._lease_taken.set()
            if not held:
                self._orders.clear()
                self._journal.write(
                    'lease:taken', _LEASE_KEY, revision=str(outcome.revision)
                )
            return
        if isinstance(outcome, platform.Conflict):
            self._observe_rows(outcome.rows, self._store.era, now)
            return
        self._log_lease_failure(outcome)
        if (
            self._lease.renewal_requested_at is not None
            and not placement.may_order(self._lease, _read_boot_time())
        ):
            # The renewal may have been applied; read the lease before the
            # next attempt.
            self._lease.renewal_requested_at = None
            self._journal.write(
                'lease:lost', _LEASE_KEY, reason=outcome.reason
            )

    def _log_lease_failure(self, outcome):
        self._lease_backoff_s = min(
            2 * (self._lease_backoff_s or _MIN_LEASE_BACKOFF_S / 2),
            _MAX_LEASE_BACKOFF_S,
        )
        self._journal.write(
            'lease:unread',
            _LEASE_KEY,
            reason=outcome.reason,
            revision=str(self._lease.revision),
        )

    def _observe_rows(self, rows, era, now):
        """Observe the row of the lease; there are no rows if it is missing."""
        revision = max(
            (row.revision for row in rows), default=revisions.Revision(era, 0)
        )
        if revision > self._lease.revision:
            self._log_loss(revision)
        placement.observe_lease(self._lease, revision, now)

    def _log_loss(self, revision):
        if self._lease.renewal_requested_at is not None:
            self._journal.write(
                'lease:lost', _LEASE_KEY, revision=str(revision)
            )

    def _place_layers(self):
        configuration = self._T.configuration
        if configuration is None or not self._T.endpoints_known:
            return
        now = _read_boot_time()
        if not self._has_settled(now):
            return
        for service in configuration.services.values():
            if service.engine is not None and service.engine.layer_count:
                self._place_service(service, now)

    def _has_settled(self, now):
        """Return whether the set of endpoints without layers is stable.

        Once any endpoint holds layers, empty endpoints are assigned layers
        without waiting.
        """
        if any(e.layers is not None for e in self._T.endpoints.values()):
            return True
        empty = {
            (endpoint.id, endpoint.born_ms)
            for endpoint in self._T.endpoints.values()
            if endpoint.layers is None and endpoint.accelerator
        }
        if not empty - self._empty_endpoints:
            self._empty_endpoints = empty
            settled = now - self._empty_changed_at >= _SETTLE_S
            if settled:
                self._settling_since = None
            return settled
        self._empty_endpoints = empty
        self._empty_changed_at = now
        if self._settling_since is None:
            self._settling_since = now
        return now - self._settling_since >= _MAX_SETTLE_S

    def _place_service(self, service, now):
        engine = service.engine
        endpoints = fleet.list_endpoints(self._T, service.name)
        assigned = self._list_assigned(engine, endpoints, now)
        plan = placement.plan_layers(engine, endpoints, assigned)
        for endpoint in endpoints:
            if endpoint.id in plan:
                self._orders[_make_run_id(endpoint)] = _Order(
                    plan[endpoint.id]
                )
        self._plan_moves(service, endpoints, {**assigned, **plan}, now)
        for endpoint in endpoints:
            self._start_order(engine, endpoint)

    def _list_assigned(self, engine, endpoints, now):
        """Return the layers that endpoints hold or were ordered to hold."""
        assigned = {}
        for endpoint in endpoints:
            run_id = _make_run_id(endpoint)
            order = self._orders.get(run_id)
            if order is not None and endpoint.layers == order.layers:
                del self._orders[run_id]
                order = None
            if order is not None:
                assigned[endpoint.id] = order.layers
                wait_s = engine.load_s + _ORDER_EFFECT_MARGIN_S
                if order.awaiting_effect and now - order.sent_at > wait_s:
                    order.awaiting_effect = False
            elif endpoint.layers is not None:
                assigned[endpoint.id] = endpoint.layers
        return assigned

    def _plan_moves(self, service, endpoints, assigned, now):
        """Plan one move in each data centre that lacks layers.

        Engines that may be listed again soon count as holding theirs. Empty
        ones, which have nothing to give up, are not kept waiting for them.
        """
        engine = service.engine
        lapsed = self._list_lapsed(service.name)
        kept = self._list_assigned(engine, lapsed, now)
        lapsed = [endpoint for endpoint in lapsed if endpoint.id in kept]
        assigned = {**kept, **assigned}
        for data_centre in sorted({e.data_centre for e in endpoints}):
            if (
                now
                - self._last_move_at.get(data_centre, -_MIN_MOVE_INTERVAL_S)
                < _MIN_MOVE_INTERVAL_S
            ):
                continue
            endpoint, layers = placement.plan_move(
                engine, [*endpoints, *lapsed], assigned, data_centre
            )
            if (
                endpoint is None
                or endpoint in lapsed
                or _make_run_id(endpoint) in self._orders
            ):
                continue
            self._last_move_at[data_centre] = now
            self._orders[_make_run_id(endpoint)] = _Order(
                layers, orders_begun=None
            )
            self._journal.write(
                'order:planned',
                endpoint.id,
                data_centre=data_centre,
                before=[endpoint.layers.start, endpoint.layers.end],
                layers=[layers.start, layers.end],
            )

    def _list_lapsed(self, service):
        """Return the engines that are not listed and may still run."""
        lapsed = [
            endpoint
            for endpoint in self._T.lapses.list_endpoints(clocks.read_clock())
            if endpoint.service == service
        ]
        for endpoint in lapsed:
            run_id = _make_run_id(endpoint)
            if run_id not in self._checks:
                self._checks[run_id] = asyncio.create_task(
                    self._check_lapsed(endpoint)
                )
        return lapsed

    async def _check_lapsed(self, endpoint):
        """Drop an engine that does not run; one that is silent may."""
        run_id = _make_run_id(endpoint)
        try:
            report = await self._engine_client.fetch_report(endpoint)
            if isinstance(report, forwarding.NoResponse):
                has_ended = report.is_elsewhere
            else:
                has_ended = report.born_ms not in (0, endpoint.born_ms)
            if has_ended or self._T.notices.get(run_id).leaving:
                self._T.lapses.drop(endpoint.id)
            await asyncio.sleep(fleet.RELISTING_S)
        finally:
            del self._checks[run_id]

    def _start_order(self, engine, endpoint):
        run_id = _make_run_id(endpoint)
        order = self._orders.get(run_id)
        if order is None or order.awaiting_effect or run_id in self._in_flight:
            return
        if not placement.fits_memory(
            engine, endpoint.accelerator, order.layers
        ):
            self._journal.write('order:dropped', endpoint.id, reason='memory')
            return
        self._in_flight.add(run_id)
        task = asyncio.create_task(self._send_order(endpoint, order))
        task.add_done_callback(lambda _: self._in_flight.discard(run_id))

    async def _send_order(self, endpoint, order):
        order.sent_at = _read_boot_time()
        if order.orders_begun is None:
            await self._fetch_order_state(endpoint, order)
            if order.orders_begun is None or order.awaiting_effect:
                return
        body = platform.make_place_order(order.layers, order.orders_begun)
        reply = await self._engine_client.send_order(endpoint, body)
        if isinstance(reply, forwarding.NoResponse):
            self._log_order(
                endpoint, order, f'no response to order: {reply.reason}'
            )
            return
        self._log_order(endpoint, order, f'status {reply.status}')
        if reply.status in (_OK, _ACCEPTED, _MISDIRECTED):
            # 421 means that another endpoint has taken over the address; the
            # endpoint list will show this soon.
            order.awaiting_effect = True
        elif reply.status == _CONFLICT:
            await self._fetch_order_state(endpoint, order)

    async def _fetch_order_state(self, endpoint, order):
        """Fetch the number of begun orders and the layers of the endpoint."""
        report = await self._engine_client.fetch_report(endpoint)
        if isinstance(report, forwarding.NoResponse):
            self._log_order(
                endpoint, order, f'no status report: {report.reason}'
            )
            return
        order.orders_begun = report.orders_begun
        # An order that received no response may still have been begun.
        order.awaiting_effect = report.busy or report.layers == order.layers

    def _log_order(self, endpoint, order, outcome):
        self._journal.write(
            'order:given',
            endpoint.id,
            address=endpoint.address,
            layers=[order.layers.start, order.layers.end],
            orders_begun=order.orders_begun,
            lease=str(self._lease.revision),
            outcome=outcome,
        )


def _make_run_id(endpoint):
    return endpoint.id, endpoint.born_ms


def _read_boot_time():
    return time.clock_gettime(time.CLOCK_BOOTTIME)
