"""Orders: calls to plain services, most of which may run at most once.

See ``docs/ORDERS.md`` for the states and the alternatives considered.
"""

from sniperudder.systems.orders._admission import MAX_RUNNING_PER_SERVICE
from sniperudder.systems.orders._calls import may_call
from sniperudder.systems.orders._restoration import get_settled_at
from sniperudder.systems.orders._restoration import handle_restored
from sniperudder.systems.orders._state_machine import HANDLERS
from sniperudder.systems.orders._state_machine import PURPOSES
from sniperudder.systems.orders._state_machine import run_orders
from sniperudder.systems.orders._timing import may_send

__all__ = [
    'HANDLERS',
    'MAX_RUNNING_PER_SERVICE',
    'PURPOSES',
    'get_settled_at',
    'handle_restored',
    'may_call',
    'may_send',
    'run_orders',
]
