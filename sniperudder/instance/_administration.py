"""Operator queries and commands on a running instance."""

import concurrent.futures
import datetime
import queue
import uuid

from sniperudder import callers
from sniperudder import inputs
from sniperudder import operators
from sniperudder import outcomes
from sniperudder import queries
from sniperudder import settings as settings_module
from sniperudder.systems import configuration
from sniperudder.tables import InstanceState

_PEER_QUERY_THREADS = 64
_ADMIN_THREADS = 16
# Part of the timeout reserved for combining partial results and responding.
_COMBINE_RESERVE_S = 0.05


class RuntimeBackend(operators.OperatorBackend):
    """Serves operator requests from the local runtime and its peers.

    Parameters
    ----------
    runtime : Runtime
    peers : PeerClient
    """

    __slots__ = ('_runtime', '_peers', '_pool')

    def __init__(self, runtime, peers):
        self._runtime = runtime
        self._peers = peers
        self._pool = concurrent.futures.ThreadPoolExecutor(_PEER_QUERY_THREADS)

    def run_query(self, query, timeout_s):
        """See base class."""
        text = queries.format_query(query)
        peer_timeout_s = max(timeout_s - _COMBINE_RESERVE_S, 0.01)
        calls = {
            name: self._pool.submit(
                self._query_peer, address, text, peer_timeout_s
            )
            for name, address in self._runtime.read_tables(_list_peers)
        }
        partials = [self._evaluate(query)]
        concurrent.futures.wait(calls.values(), peer_timeout_s)
        missing = []
        for name, call in calls.items():
            partial = call.result() if call.done() else None
            if partial is None:
                call.cancel()
                missing.append(name)
            else:
                partials.append(partial)
        return queries.combine_partials(query, partials, missing)

    def answer_peer_query(self, text, timeout_s):
        """Evaluate a peer's query; return this instance's partial result."""
        query = queries.parse_query(text)
        return queries.encode_partial(self._evaluate(query))

    def plan_intent(self, intent):
        """See base class."""
        return self._runtime.read_tables(queries.plan_intent, intent)

    def submit_command(self, command, command_id, operator, timeout_s):
        """See base class."""
        request = uuid.uuid4().hex
        replies = self._runtime.open_reply(request)
        self._runtime.submit(
            inputs.CommandArrived(
                command=command_id,
                operator=operator,
                intent=command.intent,
                force=command.force,
                issued_at=_read_wall_clock(),
                request=request,
            )
        )
        try:
            return self._await_outcome(replies, timeout_s)
        finally:
            self._runtime.close_reply(request)

    def verify(self, command_id):
        """See base class."""
        now = self._runtime.read_clock()
        return self._runtime.read_tables(
            configuration.verify_command, command_id, now
        )

    def _evaluate(self, query):
        now = self._runtime.read_clock()
        return self._runtime.read_tables(queries.evaluate_partial, query, now)

    def _query_peer(self, address, text, timeout_s):
        answer = self._peers.ask(address, text, timeout_s)
        try:
            return queries.decode_partial(answer) if answer else None
        except ValueError:
            return None

    def _await_outcome(self, replies, timeout_s):
        deadline = self._runtime.read_clock() + timeout_s
        outcome = outcomes.UnknownSoFar()
        # UnknownSoFar may be followed by a final outcome.
        while isinstance(outcome, outcomes.UnknownSoFar):
            remaining_s = deadline - self._runtime.read_clock()
            try:
                outcome = replies.get(timeout=max(remaining_s, 0.001)).outcome
            except queue.Empty:
                break
        return outcome


def create_admin_server(settings, runtime, backend):
    """Return the administration HTTP server, bound but not serving.

    Parameters
    ----------
    settings : Settings
    runtime : Runtime
    backend : RuntimeBackend

    Returns
    -------
    cheroot.wsgi.Server
    """
    application = operators.create_application(
        backend,
        lambda key: settings_module.find_operator(settings, key),
        runtime.read_clock,
    )
    server = callers.create_server(
        settings.instance.admin_address, application, _ADMIN_THREADS
    )
    server.prepare()
    return server


def _list_peers(T):
    return [
        (inst.name, inst.address)
        for inst in T.instances.values()
        if inst.name != T.me and inst.state is not InstanceState.GONE
    ]


def _read_wall_clock():
    now = datetime.datetime.now(datetime.timezone.utc)
    return now.isoformat(timespec='milliseconds')
