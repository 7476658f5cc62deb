"""Forwarding of requests from callers to endpoints."""

from sniperudder.forwarding._callers import CallerLimits
from sniperudder.forwarding._callers import CallerServer
from sniperudder.forwarding._channels import call
from sniperudder.forwarding._channels import ChannelPool
from sniperudder.forwarding._engines import EngineCaller
from sniperudder.forwarding._engines import Unanswered
from sniperudder.forwarding._forwarder import Forwarder

__all__ = [
    'CallerLimits',
    'CallerServer',
    'ChannelPool',
    'EngineCaller',
    'Forwarder',
    'Unanswered',
    'call',
]
