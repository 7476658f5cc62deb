"""Orders to engines and the status reports of engines."""

import dataclasses
import json

from sniperudder.platform import _documents
from sniperudder.platform import _headers

ORDER_TARGET = '/order'
REPORT_TARGET = '/report'


@dataclasses.dataclass(frozen=True, slots=True)
class StalledRequest:
    """A request that waits for a pipeline stage without progress.

    Attributes
    ----------
    request_id : str
    address : str
        Address of the stage.
    """

    request_id: str
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport:
    """Status report of an engine, a few hundred milliseconds old.

    Attributes
    ----------
    orders_begun : int
        Number of orders begun since the engine started.
    busy : bool
        Whether an order is being carried out.
    layers : sniperudder.fleet.Layers or None
        Layers that the engine holds.
    stalled : tuple of StalledRequest
        Stalled requests for which the engine is the first stage.
    born_ms : int
        Wall-clock time of the engine's start, ms; 0 if it is not stated.
    """

    orders_begun: int
    busy: bool
    layers: object
    stalled: tuple
    born_ms: int = 0


def make_place_order(layers, orders_begun):
    """Return the body of an order to load a range of layers.

    Parameters
    ----------
    layers : sniperudder.fleet.Layers
    orders_begun : int or None
        The engine rejects the order if it has begun a different number of
        orders; None omits this condition.

    Returns
    -------
    bytes
    """
    order = {
        'operation': 'place',
        'from': layers.start,
        'to': layers.end,
        'mode': 'wait',
    }
    if orders_begun is not None:
        order['expected_rev'] = orders_begun
    return json.dumps(order).encode()


def make_reroute_order(request_id, stages):
    """Return the body of an order to reroute a request to another chain.

    Parameters
    ----------
    request_id : str
    stages : sequence of sniperudder.fleet.Stage
        Stages of the new chain.

    Returns
    -------
    bytes
    """
    order = {
        'operation': 'repath',
        'id': request_id,
        'path': _headers.format_path(stages),
    }
    return json.dumps(order).encode()


def decode_report(body):
    """Decode the status report of an engine.

    Returns
    -------
    EngineReport

    Raises
    ------
    DocumentError
        If the report is malformed.
    """
    value = _documents.parse_object(body)
    stalled = []
    for entry in _documents.get_field(value, 'stalled', list, []):
        if isinstance(entry, dict):
            stalled.append(
                StalledRequest(
                    _documents.get_field(entry, 'id', str, ''),
                    _documents.get_field(entry, 'address', str, ''),
                )
            )
    return EngineReport(
        # In endpoint rows, this field counts heartbeats; in reports, orders.
        orders_begun=_documents.get_field(value, 'sequence', int, 0),
        busy=_documents.get_field(value, 'busy', bool, False),
        layers=_documents.decode_layers(value),
        stalled=tuple(stalled),
        born_ms=_documents.get_field(value, 'born', int, 0),
    )


def decode_fault_address(body):
    """Return the stage address in the reply to a rejected order, or None."""
    try:
        value = _documents.parse_object(body)
        return _documents.get_field(value, 'address', str)
    except _documents.DocumentError:
        return None
