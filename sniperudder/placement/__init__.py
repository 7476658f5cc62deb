"""Placement of a model's layers on endpoints."""

from sniperudder.placement._layout import choose_group_size
from sniperudder.placement._layout import count_groups
from sniperudder.placement._layout import fits_memory
from sniperudder.placement._layout import plan_layers
from sniperudder.placement._layout import plan_move
from sniperudder.placement._lease import LEASE_POLL_INTERVAL_S
from sniperudder.placement._lease import LEASE_RENEWAL_INTERVAL_S
from sniperudder.placement._lease import LeaseView
from sniperudder.placement._lease import may_acquire
from sniperudder.placement._lease import may_order
from sniperudder.placement._lease import observe_lease
from sniperudder.placement._lease import record_renewal

__all__ = [
    'LEASE_POLL_INTERVAL_S',
    'LEASE_RENEWAL_INTERVAL_S',
    'LeaseView',
    'choose_group_size',
    'count_groups',
    'fits_memory',
    'may_acquire',
    'may_order',
    'observe_lease',
    'plan_layers',
    'plan_move',
    'record_renewal',
]
