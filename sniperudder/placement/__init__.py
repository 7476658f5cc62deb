"""Placement of a model's layers on endpoints."""

from sniperudder.placement._layout import choose_group_size
from sniperudder.placement._layout import count_groups
from sniperudder.placement._layout import fits_memory
from sniperudder.placement._layout import plan_layers
from sniperudder.placement._layout import plan_move
from sniperudder.placement._lease import LeaseView
from sniperudder.placement._lease import LOOK_S
from sniperudder.placement._lease import may_order
from sniperudder.placement._lease import may_take
from sniperudder.placement._lease import observe_lease
from sniperudder.placement._lease import record_renewal
from sniperudder.placement._lease import RENEW_S

__all__ = [
    'LOOK_S',
    'LeaseView',
    'RENEW_S',
    'choose_group_size',
    'count_groups',
    'fits_memory',
    'may_order',
    'may_take',
    'observe_lease',
    'plan_layers',
    'plan_move',
    'record_renewal',
]
