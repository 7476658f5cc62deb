"""Routing decisions: routes, endpoints, retries and load shedding."""

from sniperudder.routing._balancing import choose_endpoint
from sniperudder.routing._budgets import get_slack_share
from sniperudder.routing._budgets import RetryBudget
from sniperudder.routing._chain_search import find_chain
from sniperudder.routing._chains import check_chain
from sniperudder.routing._chains import choose_chain
from sniperudder.routing._chains import replace_stages
from sniperudder.routing._connection_limits import has_free_connection
from sniperudder.routing._costs import compute_crossing_cost
from sniperudder.routing._costs import compute_layer_cost
from sniperudder.routing._costs import estimate_stage_ms
from sniperudder.routing._costs import get_kv_capacity
from sniperudder.routing._costs import RequestSize
from sniperudder.routing._crashes import CrashTable
from sniperudder.routing._crashes import make_crash_keys
from sniperudder.routing._crashes import SURVIVAL_S
from sniperudder.routing._durations import DurationEstimator
from sniperudder.routing._health import is_avoided
from sniperudder.routing._health import record_dead
from sniperudder.routing._health import record_failure
from sniperudder.routing._health import record_fault_notice
from sniperudder.routing._health import record_layer_mismatch
from sniperudder.routing._health import record_layers_changed
from sniperudder.routing._health import record_refusal
from sniperudder.routing._health import record_success
from sniperudder.routing._quotas import choose_holders
from sniperudder.routing._quotas import choose_watchers
from sniperudder.routing._quotas import compute_share
from sniperudder.routing._quotas import has_quota
from sniperudder.routing._quotas import rank_instances
from sniperudder.routing._quotas import return_quota
from sniperudder.routing._quotas import spend_quota
from sniperudder.routing._quotas import update_quotas
from sniperudder.routing._restrictions import get_pause_s
from sniperudder.routing._restrictions import is_open
from sniperudder.routing._restrictions import list_restricted
from sniperudder.routing._restrictions import may_send
from sniperudder.routing._routes import choose_service
from sniperudder.routing._routes import get_rank
from sniperudder.routing._routes import match_route
from sniperudder.routing._shedding import GapCounter
from sniperudder.routing._shedding import get_shed_share
from sniperudder.routing._shedding import update_shedding_level
from sniperudder.routing._shortage import compute_admitted_shares
from sniperudder.routing._shortage import get_limited_capacity
from sniperudder.routing._shortage import RankCounter
from sniperudder.routing._stall_checks import choose_suspects
from sniperudder.routing._stall_checks import get_early_delay_s
from sniperudder.routing._stall_checks import judge_signs
from sniperudder.routing._stall_checks import Sign

__all__ = [
    'CrashTable',
    'DurationEstimator',
    'GapCounter',
    'RankCounter',
    'RequestSize',
    'RetryBudget',
    'SURVIVAL_S',
    'Sign',
    'check_chain',
    'choose_chain',
    'choose_endpoint',
    'choose_holders',
    'choose_service',
    'choose_suspects',
    'choose_watchers',
    'compute_admitted_shares',
    'compute_crossing_cost',
    'compute_layer_cost',
    'compute_share',
    'estimate_stage_ms',
    'find_chain',
    'get_early_delay_s',
    'get_kv_capacity',
    'get_limited_capacity',
    'get_pause_s',
    'get_rank',
    'get_shed_share',
    'get_slack_share',
    'has_free_connection',
    'has_quota',
    'is_avoided',
    'is_open',
    'judge_signs',
    'list_restricted',
    'make_crash_keys',
    'match_route',
    'may_send',
    'rank_instances',
    'record_dead',
    'record_failure',
    'record_fault_notice',
    'record_layer_mismatch',
    'record_layers_changed',
    'record_refusal',
    'record_success',
    'replace_stages',
    'return_quota',
    'spend_quota',
    'update_quotas',
    'update_shedding_level',
]
