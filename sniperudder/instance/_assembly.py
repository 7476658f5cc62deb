"""Construction of an instance from its settings, and its main loop."""

import dataclasses
import os
import random
import signal
import threading
import time
import typing

from sniperudder import callers
from sniperudder import clocks
from sniperudder import effects
from sniperudder import endpoints
from sniperudder import inputs
from sniperudder.instance import _administration
from sniperudder.instance import _engines
from sniperudder.instance import _external_calls
from sniperudder.instance import _runtime
from sniperudder.instance import _slot_messages
from sniperudder import logs
from sniperudder import metrics
from sniperudder import peers
from sniperudder import services
from sniperudder import settings as settings_module
from sniperudder.systems import configuration
from sniperudder.systems import membership
from sniperudder import tables
from sniperudder import tableservice

_LOAD_POLL_PERIOD_S = 1.0
_DRAIN_POLL_S = 0.1
# Exit status if a second signal terminates the process during a graceful
# shutdown.
_FORCED_EXIT_STATUS = 8
_SIGNAL_POLL_S = 0.2
# Wait for the transaction that removes a stopping instance from the members.
_LEAVE_WAIT_S = 1.0


@dataclasses.dataclass(slots=True)
class EntryInstance:
    """An instance with its servers.

    Attributes
    ----------
    settings : Settings
    runtime : Runtime
    calls : ExternalCalls
    metrics : Metrics
    caller_server, admin_server : cheroot.wsgi.Server
    peer_server : PeerServer
    stopping : threading.Event
        Set once a graceful shutdown is requested.
    signalled : bool
        Whether a signal has requested the graceful shutdown.
    """

    settings: settings_module.Settings
    runtime: _runtime.Runtime
    calls: _external_calls.ExternalCalls
    metrics: metrics.Metrics
    caller_server: typing.Any
    admin_server: typing.Any
    peer_server: peers.PeerServer
    stopping: threading.Event
    signalled: bool = False


def create_instance(settings):
    """Return an instance whose servers are bound but not serving.

    Parameters
    ----------
    settings : Settings

    Returns
    -------
    EntryInstance

    Raises
    ------
    OSError
        If an address cannot be bound.
    """
    own_settings = settings.instance
    seed = own_settings.seed
    if seed is None:
        seed = random.SystemRandom().getrandbits(64)
    T = tables.create_tables(own_settings.name, own_settings.data_centre, seed)
    settings_module.fill_tables(T, settings)
    # Milliseconds of wall-clock time, so that a restart under the same name
    # has the higher incarnation.
    incarnation = round(time.time() * 1000)
    membership.add_own_record(T, own_settings.peer_address, incarnation)
    peer_key = (settings.peer_key or b'').decode()
    runtime = _runtime.create_runtime(T, clocks.read_clock)
    runtime.handlers[effects.LogEvent] = logs.write_event
    engines = endpoints.create_engine_client()
    _engines.create_engine_senders(runtime, engines)
    peer_client = peers.create_peer_client(peer_key)
    _slot_messages.create_slot_message_senders(runtime, peer_client)
    calls = _external_calls.create_external_calls(
        runtime,
        tableservice.create_platform_client(settings.platform.address),
        services.create_service_client(),
        engines,
        peer_client,
    )
    backend = _administration.RuntimeBackend(runtime, peer_client)
    admin_server = _administration.create_admin_server(
        settings, runtime, backend
    )
    M = metrics.create_metrics()
    application = callers.create_application(
        runtime,
        lambda presented: settings_module.find_key(settings, presented),
        lambda: _render_metrics(runtime, M),
        lambda: _explain_unready(runtime),
        lambda *args: _record_latencies(M, *args),
    )
    server = callers.create_server(
        own_settings.caller_address, application, own_settings.threads
    )
    server.prepare()
    peer_server = peers.create_peer_server(
        own_settings.peer_address,
        runtime.answer_heartbeat,
        runtime.receive_messages,
        backend.answer_peer_query,
        peer_key,
    )
    return EntryInstance(
        settings,
        runtime,
        calls,
        M,
        server,
        admin_server,
        peer_server,
        threading.Event(),
    )


def run_instance(settings):
    """Run an instance until a stop is requested and its work is done.

    SIGTERM and SIGINT start a graceful shutdown; a second signal terminates
    the process immediately.

    Returns
    -------
    int
        Exit status: 0 if all work finished, 1 if the drain time limit
        of the graceful shutdown passed first.
    """
    log = logs.create_log(settings.instance.log, settings.instance.name)
    instance = create_instance(settings)
    _start_threads(instance)
    signal.signal(signal.SIGTERM, lambda *args: _handle_signal(instance))
    signal.signal(signal.SIGINT, lambda *args: _handle_signal(instance))
    logs.write_event(
        effects.LogEvent(
            'instance:start',
            settings.instance.name,
            _format_caller_address(instance),
        )
    )
    # A wait without a timeout does not wake for a signal that the kernel
    # delivered to another thread.
    while not instance.stopping.wait(_SIGNAL_POLL_S):
        if instance.runtime.read_tables(_is_stop_commanded):
            instance.stopping.set()
    status = _drain(instance)
    logs.write_event(effects.LogEvent('instance:stop', settings.instance.name))
    logs.close_log(log)
    return status


def _format_caller_address(instance):
    return ':'.join(str(part) for part in instance.caller_server.bind_addr)


def _start_threads(instance):
    runtime = instance.runtime
    instance.peer_server.start()
    targets = {
        'ticks': runtime.run_ticks,
        'callers': instance.caller_server.serve,
        'operators': instance.admin_server.serve,
        'loads': lambda: _poll_loads(instance),
    }
    for name, target in targets.items():
        threading.Thread(target=target, name=name, daemon=True).start()


def _poll_loads(instance):
    instance.calls.read_loads()
    # Polling continues during a graceful shutdown because streams are still
    # running on the engines.
    while not instance.runtime.wait(_LOAD_POLL_PERIOD_S):
        instance.calls.read_loads()


def _handle_signal(instance):
    # A stop command may precede the platform's signal, so only a second
    # signal forces the exit.
    if instance.signalled:
        os._exit(_FORCED_EXIT_STATUS)
    instance.signalled = True
    instance.stopping.set()


def _drain(instance):
    # The servers keep refusing new requests until the last request is done
    # because the load balancer may still route callers to this instance.
    runtime = instance.runtime
    runtime.submit(inputs.StopRequested())
    limit = runtime.read_clock() + runtime.T.policy.drain_s
    pause = threading.Event()
    while runtime.read_tables(_has_work, runtime.read_clock()):
        if runtime.read_clock() > limit:
            return 1
        pause.wait(_DRAIN_POLL_S)
    runtime.leave()
    pause.wait(_LEAVE_WAIT_S)
    instance.caller_server.stop()
    instance.admin_server.stop()
    instance.peer_server.stop()
    runtime.stop()
    return 0


def _is_stop_commanded(T):
    return T.me in T.config.stopping


def _has_work(T, now):
    return now < T.refuse_at or bool(T.requests) or bool(T.orders)


def _explain_unready(runtime):
    T = runtime.T
    if T.stopping or T.me in T.config.stopping:
        return 'stopping'
    if not runtime.read_tables(configuration.is_fresh, runtime.read_clock()):
        return 'configuration not confirmed by the platform or the peers'
    return ''


_TIMINGS = {
    'first_token': metrics.Timing.FIRST_TOKEN,
    'next_token': metrics.Timing.BETWEEN_TOKENS,
    'total': metrics.Timing.TOTAL,
}


def _record_latencies(M, rank, organisation, name, durations_s):
    metrics.record_durations(
        M, _TIMINGS[name], rank, organisation, durations_s
    )


def _render_metrics(runtime, M):
    for name, value in dict(runtime.T.counters).items():
        metrics.set_gauge(M, name.replace('.', '_'), value)
    return metrics.render_metrics(M)
