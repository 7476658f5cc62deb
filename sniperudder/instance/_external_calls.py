"""Thread pools that call the platform, services, engines and peers."""

import concurrent.futures
import dataclasses

from sniperudder import effects
from sniperudder import inputs
from sniperudder.instance import _workers
from sniperudder.systems import orders

_PLATFORM_THREADS = 8
_KEY_LOOKUP_THREADS = 8
_PEER_THREADS = 16
_LOAD_THREADS = 8
_LOAD_TIMEOUT_S = 1.0


class ExternalCalls:
    """Executes effects as calls and submits their results as inputs.

    Parameters
    ----------
    runtime : Runtime
    platform : PlatformClient
    services : ServiceClient
    engines : EngineClient
    peers : PeerClient or None

    Attributes
    ----------
    pending_loads : set of str
        Endpoints whose load request has not returned yet.
    """

    __slots__ = (
        'runtime',
        'platform',
        'services',
        'engines',
        'peers',
        'pools',
        'pending_loads',
    )

    def __init__(self, runtime, platform, services, engines, peers):
        self.runtime = runtime
        self.platform = platform
        self.services = services
        self.engines = engines
        self.peers = peers
        self.pending_loads = set()
        self.pools = {
            'platform': _create_pool(_PLATFORM_THREADS),
            'services': _create_pool(_count_service_threads(runtime.T)),
            'peers': _create_pool(_PEER_THREADS),
            'loads': _create_pool(_LOAD_THREADS),
        }

    def transact(self, effect):
        """Run a transaction."""
        self._start('platform', self._transact, effect)

    def scan(self, effect):
        """Read rows."""
        self._start('platform', self._scan, effect)

    def list_instances(self, effect):
        """Read the platform's list of instances."""
        self._start('platform', self._list_instances)

    def call_service(self, effect):
        """Call a service."""
        self._start('services', self._call_service, effect)

    def look_up_key(self, effect):
        """Query a service for the result of an idempotency key."""
        self._start('services', self._look_up_key, effect)

    def send_heartbeat(self, effect):
        """Send a heartbeat."""
        self._start('peers', self._send_heartbeat, effect)

    def read_loads(self):
        """Query the load of every engine."""
        for ep in list(self.runtime.T.endpoints.values()):
            # At most one request per engine, so that an engine that does not
            # respond cannot fill the pool queue.
            if ep.name not in self.pending_loads:
                self.pending_loads.add(ep.name)
                self._start('loads', self._read_load, ep)

    def _start(self, pool, function, *args):
        self.pools[pool].submit(_workers.run_logged, function, *args)

    def _transact(self, effect):
        sent_at = self.runtime.read_clock()
        timeout_s = self.runtime.T.policy.platform_timeout_s
        outcome = self.platform.transact(effect, timeout_s)
        self.runtime.submit(
            inputs.TransactReturned(effect.purpose, outcome, sent_at)
        )

    def _scan(self, effect):
        sent_at = self.runtime.read_clock()
        timeout_s = self.runtime.T.policy.platform_timeout_s
        rows = self.platform.scan(effect, timeout_s)
        self.runtime.submit(inputs.ScanReturned(effect.purpose, rows, sent_at))

    def _list_instances(self):
        timeout_s = self.runtime.T.policy.platform_timeout_s
        listed = self.platform.list_instances(timeout_s)
        self.runtime.submit(inputs.InstancesListed(listed))

    def _call_service(self, effect):
        # The process may have been suspended since the core emitted the
        # effect, so the permission to call is checked again.
        now = self.runtime.read_clock()
        if not self.runtime.read_tables(orders.may_call, effect, now):
            self.runtime.submit(_create_not_sent(effect))
            return
        timeout_s = self.runtime.T.policy.order_timeout_s
        self.runtime.submit(self.services.call(effect, timeout_s))

    def _look_up_key(self, effect):
        timeout_s = self.runtime.T.policy.order_timeout_s
        self.runtime.submit(self.services.look_up(effect, timeout_s))

    def _send_heartbeat(self, effect):
        sent_at = self.runtime.read_clock()
        timeout_s = self.runtime.T.policy.heartbeat_s
        beat = self.peers.exchange(effect.address, effect.beat, timeout_s)
        if beat is None:
            self.runtime.submit(inputs.HeartbeatLost(effect.peer))
        else:
            self.runtime.submit(inputs.HeartbeatReturned(beat, sent_at))

    def _read_load(self, ep):
        sent_at = self.runtime.read_clock()
        try:
            report = self.engines.read_load(ep, _LOAD_TIMEOUT_S)
        finally:
            self.pending_loads.discard(ep.name)
        if report is not None:
            self.runtime.submit(dataclasses.replace(report, sent_at=sent_at))


def create_external_calls(runtime, platform, services, engines, peers):
    """Return the external calls, registered as handlers of their effects."""
    calls = ExternalCalls(runtime, platform, services, engines, peers)
    runtime.handlers.update(
        {
            effects.LookUpKey: calls.look_up_key,
            effects.CallService: calls.call_service,
            effects.ListInstances: calls.list_instances,
            effects.Scan: calls.scan,
            effects.SendHeartbeat: calls.send_heartbeat,
            effects.Transact: calls.transact,
        }
    )
    return calls


def _count_service_threads(T):
    # One thread per possible call: a call that waits for a free thread
    # would be treated as lost.
    return (
        len(T.services) * orders.MAX_RUNNING_PER_SERVICE + _KEY_LOOKUP_THREADS
    )


def _create_not_sent(effect):
    return inputs.ServiceReturned(
        effect.order,
        delivery=inputs.Delivery.NOT_SENT,
        address=effect.address,
    )


def _create_pool(threads):
    return concurrent.futures.ThreadPoolExecutor(threads)
