"""Client of the engines' JSON protocol, see docs/ENDPOINTS.md."""

import collections
import dataclasses
import json
import time

from sniperudder import clocks
from sniperudder.endpoints import _client
from sniperudder import inputs
from sniperudder import transports

_OK = 200
_NOT_SENT = inputs.Delivery.NOT_SENT
_LOST = inputs.Delivery.LOST
# A repeated step ran in an earlier call whose response was lost.
_DELIVERY_BY_REFUSAL = {'not_run': _NOT_SENT, 'repeated': _LOST}
_HEADERS = {'Content-Type': 'application/json'}


class HttpEngineClient(_client.EngineClient):
    """Calls engines over HTTP.

    Parameters
    ----------
    transport : sniperudder.transports.HttpTransport
    """

    def __init__(self, transport):
        self._transport = transport

    def send_steps(self, ep, steps, timeout_s):
        """See base class."""
        body = {'steps': [_encode_step(step) for step in steps]}
        response = self._exchange('POST', ep, '/v1/steps', timeout_s, body)
        if isinstance(response, transports.CallFailure):
            return [
                _make_failure(
                    ep,
                    step,
                    response.call_id,
                    response.delivery,
                    response.detail,
                    response.connection_broke,
                )
                for step in steps
            ]
        if response.not_run:
            # The engine refused the whole call, so the steps are reported as
            # failed, not as refused, and count against its health.
            detail = f'refused with {response.status}'
            return [
                _make_failure(ep, step, response.call_id, _NOT_SENT, detail)
                for step in steps
            ]
        results = _index_results(response)
        return [_read_result(ep, step, response, results) for step in steps]

    def cancel_streams(self, ep, cancels, timeout_s):
        """See base class."""
        streams = [
            {'request': cancel.request, 'attempt': cancel.attempt}
            for cancel in cancels
        ]
        body = {'streams': streams}
        self._exchange('POST', ep, '/v1/cancel', timeout_s, body)

    def read_load(self, ep, timeout_s):
        """See base class."""
        value = _decode(self._exchange('GET', ep, '/v1/load', timeout_s))
        try:
            streams, boot = value['streams'], value['boot']
        except (KeyError, TypeError):
            return None
        if type(streams) is not int or type(boot) is not str or streams < 0:
            return None
        return inputs.LoadReported(ep.name, streams, boot)

    def _exchange(self, method, ep, path, timeout_s, body=None):
        data = None if body is None else json.dumps(body).encode()
        return self._transport.exchange(
            method, ep.address, path, timeout_s, data, _HEADERS
        )


def _encode_step(step):
    return {
        'request': step.request,
        'attempt': step.attempt,
        'position': step.position,
        'first_layer': step.first_layer,
        'end_layer': step.end_layer,
        'model': step.model,
        'version': step.version,
        'rank': int(step.rank),
        'prefill': step.prefill,
        'payload': step.payload,
        'last': step.last,
        'deadline_s': step.deadline_s,
        'expires_at': _find_expiry(step),
    }


def _find_expiry(step):
    # Wall-clock time: a relative time would start again on arrival, also
    # after a long delay in the network.
    if step.start_by is None:
        return None
    return time.time() + step.start_by - clocks.read_clock()


def _decode(response):
    """Return the JSON value of a successful response, or None."""
    if isinstance(response, transports.CallFailure) or response.status != _OK:
        return None
    try:
        return json.loads(response.body)
    except ValueError:
        return None


def _index_results(response):
    """Return results by request, attempt and position.

    Results with duplicate keys are omitted.
    """
    value = _decode(response)
    try:
        raw_results = value['results']
        results = {_make_key(result): result for result in raw_results}
        if len(results) == len(raw_results):
            return results
        counts = collections.Counter(
            _make_key(result) for result in raw_results
        )
        return {key: results[key] for key in results if counts[key] == 1}
    except (KeyError, TypeError):
        return {}


def _make_key(result):
    return result['request'], result['attempt'], result['position']


def _make_step_key(step):
    return step.request, step.attempt, step.position


def _read_result(ep, step, response, results):
    result = results.get(_make_step_key(step))
    if result is None:
        detail = f'no result in an answer of {response.status}'
        return _make_failure(ep, step, response.call_id, _LOST, detail)
    if str(result.get('status')) in _DELIVERY_BY_REFUSAL:
        return _make_refusal(ep, step, response.call_id, result)
    if not _is_result_of(step, result):
        detail = 'result of another step'
        return _make_failure(ep, step, response.call_id, _LOST, detail)
    return inputs.StepReturned(
        endpoint=ep.name,
        request=step.request,
        attempt=step.attempt,
        position=step.position,
        first_layer=step.first_layer,
        end_layer=step.end_layer,
        output=result['output'],
        finished=result['finished'],
        elapsed_s=response.elapsed_s,
    )


def _is_result_of(step, result):
    return (
        result.get('status') == 'ran'
        and result.get('first_layer') == step.first_layer
        and result.get('end_layer') == step.end_layer
        and type(result.get('output')) is str
        and type(result.get('finished')) is bool
    )


def _make_refusal(ep, step, call, result):
    failed = _make_failure(
        ep=ep,
        step=step,
        call=call,
        delivery=_DELIVERY_BY_REFUSAL[result['status']],
        detail=str(result.get('detail', '')),
    )
    return dataclasses.replace(failed, refused=True)


def _make_failure(ep, step, call, delivery, detail, crashed=False):
    return inputs.StepFailed(
        endpoint=ep.name,
        request=step.request,
        attempt=step.attempt,
        position=step.position,
        delivery=delivery,
        crashed=crashed,
        call=call,
        detail=detail,
        step=step,
    )


def create_engine_client(transport=None):
    """Return a client of all engines.

    Parameters
    ----------
    transport : sniperudder.transports.HttpTransport, optional
    """
    return HttpEngineClient(transport or transports.create_transport())
