"""Calls to plain services, most of which may not be repeated.

See ``docs/ORDERS.md`` for the states and the ways weighed.
"""

from sniperudder.systems.orders._admission import RUNNING_PER_SERVICE
from sniperudder.systems.orders._calls import may_call
from sniperudder.systems.orders._steps import HANDLERS
from sniperudder.systems.orders._steps import PURPOSES
from sniperudder.systems.orders._steps import run_orders
from sniperudder.systems.orders._timing import may_send

__all__ = [
    'HANDLERS',
    'PURPOSES',
    'RUNNING_PER_SERVICE',
    'may_call',
    'may_send',
    'run_orders',
]
