"""Routing decisions: routes, endpoints, retries and load shedding."""

from sniperudder.routing._balancing import choose_endpoint
from sniperudder.routing._budgets import RepeatBudget
from sniperudder.routing._chains import check_chain
from sniperudder.routing._chains import choose_chain
from sniperudder.routing._chains import replace_parts
from sniperudder.routing._costs import compute_crossing_cost
from sniperudder.routing._costs import compute_layer_cost
from sniperudder.routing._costs import Demand
from sniperudder.routing._costs import get_kv_capacity
from sniperudder.routing._costs import get_stage_ms
from sniperudder.routing._crashes import CrashTable
from sniperudder.routing._crashes import make_fingerprint
from sniperudder.routing._health import is_avoided
from sniperudder.routing._health import record_dead
from sniperudder.routing._health import record_failure
from sniperudder.routing._health import record_misplaced
from sniperudder.routing._health import record_placed
from sniperudder.routing._health import record_refusal
from sniperudder.routing._health import record_success
from sniperudder.routing._health import record_told
from sniperudder.routing._limits import has_free_connection
from sniperudder.routing._paths import find_chain
from sniperudder.routing._routes import draw_service
from sniperudder.routing._routes import get_rank
from sniperudder.routing._routes import match_route
from sniperudder.routing._shedding import get_shed_share
from sniperudder.routing._shedding import PauseCounter
from sniperudder.routing._shedding import update_level

__all__ = [
    'CrashTable',
    'Demand',
    'PauseCounter',
    'RepeatBudget',
    'check_chain',
    'choose_chain',
    'choose_endpoint',
    'compute_crossing_cost',
    'compute_layer_cost',
    'draw_service',
    'find_chain',
    'get_kv_capacity',
    'get_rank',
    'get_shed_share',
    'get_stage_ms',
    'has_free_connection',
    'is_avoided',
    'make_fingerprint',
    'match_route',
    'record_dead',
    'record_failure',
    'record_misplaced',
    'record_placed',
    'record_refusal',
    'record_success',
    'record_told',
    'replace_parts',
    'update_level',
]
