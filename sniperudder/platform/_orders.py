"""Orders to engines, and what engines report."""

import dataclasses
import json

from sniperudder.platform import _documents
from sniperudder.platform import _headers

ORDER_TARGET = '/order'
REPORT_TARGET = '/report'


@dataclasses.dataclass(frozen=True, slots=True)
class Stalled:
    """A request that waits for a stage.

    Attributes
    ----------
    request_id : str
    address : str
        The stage.
    """

    request_id: str
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport:
    """What an engine says of itself, some hundred ms old.

    Attributes
    ----------
    orders : int
        Orders that it has begun since its start.
    busy : bool
        Whether it carries out an order.
    layers : sniperudder.fleet.Layers or None
    stalled : tuple of Stalled
        Only requests that it received as the first stage.
    """

    orders: int
    busy: bool
    layers: object
    stalled: tuple


def make_place_order(layers, orders_begun):
    """Return the body of an order to hold a range of layers.

    Parameters
    ----------
    layers : sniperudder.fleet.Layers
    orders_begun : int or None
        The order is refused where the engine has begun another number of
        orders; None sends it without this condition.

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


def make_repath_order(request_id, parts):
    """Return the body of an order to move a request to another chain."""
    order = {
        'operation': 'repath',
        'id': request_id,
        'path': _headers.write_path(parts),
    }
    return json.dumps(order).encode()


def read_report(body):
    """Return an engine's report.

    Raises
    ------
    DocumentError
    """
    value = _documents.parse(body)
    stalled = []
    for entry in _documents.take(value, 'stalled', list, []):
        if isinstance(entry, dict):
            stalled.append(
                Stalled(
                    _documents.take(entry, 'id', str, ''),
                    _documents.take(entry, 'address', str, ''),
                )
            )
    return EngineReport(
        # Elsewhere this name counts heartbeats; here it counts orders.
        orders=_documents.take(value, 'sequence', int, 0),
        busy=_documents.take(value, 'busy', bool, False),
        layers=_documents.read_layers(value),
        stalled=tuple(stalled),
    )


def read_fault_address(body):
    """Return the address that a refused order names, or None."""
    try:
        value = _documents.parse(body)
        return _documents.take(value, 'address', str)
    except _documents.DocumentError:
        return None
