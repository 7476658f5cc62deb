"""Putting an instance together from its settings, and running it."""

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
from sniperudder.instance import _calls
from sniperudder.instance import _engines
from sniperudder.instance import _posts
from sniperudder.instance import _runtime
from sniperudder import logs
from sniperudder import metrics
from sniperudder import peers
from sniperudder import services
from sniperudder import settings as settings_module
from sniperudder.systems import configuration
from sniperudder.systems import membership
from sniperudder import tables
from sniperudder import tableservice

_LOAD_PERIOD_S = 1.0
_DRAIN_LOOK_S = 0.1
# Exit status where a second signal ends the process.
_CUT_SHORT = 8
_SIGNAL_LOOK_S = 0.2
# Time for the transaction by which a stopping instance leaves.
_LEAVE_S = 1.0


@dataclasses.dataclass(slots=True)
class EntryInstance:
    """An instance and its servers.

    Attributes
    ----------
    settings : Settings
    runtime : Runtime
    calls : OutsideCalls
    metrics : Metrics
    caller_server, admin_server : cheroot.wsgi.Server
    peer_server : PeerServer
    stopping : threading.Event
        Set when a planned stop was asked for.
    signalled : bool
        Whether a signal has asked for it.
    """

    settings: settings_module.Settings
    runtime: _runtime.Runtime
    calls: _calls.OutsideCalls
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
    mine = settings.instance
    seed = mine.seed
    if seed is None:
        seed = random.SystemRandom().getrandbits(64)
    T = tables.create_tables(mine.name, mine.data_centre, seed)
    settings_module.fill_tables(T, settings)
    # Wall-clock time: a later start of the same name counts as newer.
    incarnation = round(time.time() * 1000)
    membership.add_self(T, mine.peer_address, incarnation)
    peer_key = (settings.peer_key or b'').decode()
    runtime = _runtime.create_runtime(T, clocks.read_clock)
    runtime.routes[effects.Note] = logs.write_note
    engines = endpoints.create_engine_client()
    _engines.create_senders(runtime, engines)
    peer_client = peers.create_peer_client(peer_key)
    _posts.create_post_senders(runtime, peer_client)
    calls = _calls.create_calls(
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
        mine.caller_address, application, mine.threads
    )
    server.prepare()
    peer_server = peers.create_peer_server(
        mine.peer_address,
        runtime.answer_beat,
        runtime.take_posts,
        backend.answer_ask,
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
    """Run an instance until it is told to stop and its work is done.

    SIGTERM and SIGINT begin a planned stop; a second one ends it at
    once.

    Returns
    -------
    int
        Exit status: 0 where all work was finished, 1 where the limit
        of a planned stop passed before.
    """
    log = logs.create_log(settings.instance.log, settings.instance.name)
    instance = create_instance(settings)
    _start_threads(instance)
    signal.signal(signal.SIGTERM, lambda *args: _take_signal(instance))
    signal.signal(signal.SIGINT, lambda *args: _take_signal(instance))
    logs.write_note(
        effects.Note('instance:start', settings.instance.name, _pair(instance))
    )
    # A wait without a limit does not wake for a signal that the kernel
    # gave to another thread.
    while not instance.stopping.wait(_SIGNAL_LOOK_S):
        if instance.runtime.ask(_is_told_to_stop):
            instance.stopping.set()
    status = _drain(instance)
    logs.write_note(effects.Note('instance:stop', settings.instance.name))
    logs.close_log(log)
    return status


def _pair(instance):
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
    # Also during a planned stop, which is full of streams under way.
    while not instance.runtime.wait(_LOAD_PERIOD_S):
        instance.calls.read_loads()


def _take_signal(instance):
    # A stop by command may come before the platform's signal; only a
    # second signal asks for the end at once.
    if instance.signalled:
        os._exit(_CUT_SHORT)
    instance.signalled = True
    instance.stopping.set()


def _drain(instance):
    # Refused arrivals are answered until the last request is done: the
    # balancer may send callers here for some time yet.
    runtime = instance.runtime
    runtime.submit(inputs.StopRequested())
    limit = runtime.read_clock() + runtime.T.policy.drain_s
    pause = threading.Event()
    while runtime.ask(_has_work, runtime.read_clock()):
        if runtime.read_clock() > limit:
            return 1
        pause.wait(_DRAIN_LOOK_S)
    runtime.leave()
    pause.wait(_LEAVE_S)
    instance.caller_server.stop()
    instance.admin_server.stop()
    instance.peer_server.stop()
    runtime.stop()
    return 0


def _is_told_to_stop(T):
    return T.me in T.config.stopping


def _has_work(T, now):
    return now < T.refuse_at or bool(T.requests) or bool(T.orders)


def _explain_unready(runtime):
    T = runtime.T
    if T.stopping or T.me in T.config.stopping:
        return 'stopping'
    if not runtime.ask(configuration.is_fresh, runtime.read_clock()):
        return 'configuration not confirmed by the platform or the peers'
    return ''


_TIMINGS = {
    'first_token': metrics.Timing.FIRST_TOKEN,
    'next_token': metrics.Timing.BETWEEN_TOKENS,
    'total': metrics.Timing.TOTAL,
}


def _record_latencies(M, rank, organisation, name, spans_s):
    metrics.record_times(M, _TIMINGS[name], rank, organisation, spans_s)


def _render_metrics(runtime, M):
    for name, value in dict(runtime.T.counters).items():
        metrics.set_gauge(M, name.replace('.', '_'), value)
    return metrics.render_metrics(M)
