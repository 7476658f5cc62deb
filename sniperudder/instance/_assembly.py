"""Putting an instance together from its settings, and running it."""

import dataclasses
import random
import signal
import threading
import typing

from sniperudder import callers
from sniperudder import clocks
from sniperudder import effects
from sniperudder import endpoints
from sniperudder import inputs
from sniperudder.instance import _calls
from sniperudder.instance import _engines
from sniperudder.instance import _runtime
from sniperudder import logs
from sniperudder import platform
from sniperudder import services
from sniperudder import settings as settings_module
from sniperudder import tables

_LOAD_PERIOD_S = 1.0
_DRAIN_LOOK_S = 0.1


@dataclasses.dataclass(slots=True)
class EntryInstance:
    """An instance and its servers.

    Attributes
    ----------
    settings : Settings
    runtime : Runtime
    calls : OutsideCalls
    caller_server : cheroot.wsgi.Server
    stopping : threading.Event
        Set when a planned stop was asked for.
    """

    settings: settings_module.Settings
    runtime: _runtime.Runtime
    calls: _calls.OutsideCalls
    caller_server: typing.Any
    stopping: threading.Event


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
    T.confirmed_at = float('inf')
    runtime = _runtime.create_runtime(T, clocks.read_clock)
    runtime.routes[effects.Note] = logs.write_note
    engines = endpoints.create_engine_client()
    _engines.create_senders(runtime, engines)
    calls = _calls.create_calls(
        runtime,
        platform.create_platform_client(settings.platform.address),
        services.create_service_client(),
        engines,
        None,
    )
    application = callers.create_application(
        runtime,
        lambda presented: settings_module.find_key(settings, presented),
        is_ready=lambda: _explain_unready(runtime),
    )
    server = callers.create_server(
        mine.caller_address, application, mine.threads
    )
    server.prepare()
    return EntryInstance(settings, runtime, calls, server, threading.Event())


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
    signal.signal(signal.SIGTERM, lambda *args: _request_stop(instance))
    signal.signal(signal.SIGINT, lambda *args: _request_stop(instance))
    logs.write_note(
        effects.Note('instance:start', settings.instance.name, _pair(instance))
    )
    instance.stopping.wait()
    status = _drain(instance)
    logs.write_note(effects.Note('instance:stop', settings.instance.name))
    logs.close_log(log)
    return status


def _pair(instance):
    return ':'.join(str(part) for part in instance.caller_server.bind_addr)


def _start_threads(instance):
    runtime = instance.runtime
    targets = {
        'ticks': runtime.run_ticks,
        'callers': instance.caller_server.serve,
        'loads': lambda: _poll_loads(instance),
    }
    for name, target in targets.items():
        threading.Thread(target=target, name=name, daemon=True).start()


def _poll_loads(instance):
    instance.calls.read_loads()
    while not instance.stopping.wait(_LOAD_PERIOD_S):
        instance.calls.read_loads()


def _request_stop(instance):
    if instance.stopping.is_set():
        raise SystemExit(1)
    instance.stopping.set()


def _drain(instance):
    # Refused arrivals are answered until the last request is done: the
    # balancer may send callers here for some time yet.
    runtime = instance.runtime
    runtime.submit(inputs.StopRequested())
    limit = runtime.read_clock() + runtime.T.policy.drain_s
    pause = threading.Event()
    while runtime.ask(_count_work):
        if runtime.read_clock() > limit:
            return 1
        pause.wait(_DRAIN_LOOK_S)
    instance.caller_server.stop()
    runtime.stop()
    return 0


def _count_work(T):
    return len(T.requests) + len(T.orders)


def _explain_unready(runtime):
    T = runtime.T
    if T.stopping or T.me in T.config.stopping:
        return 'stopping'
    return ''
