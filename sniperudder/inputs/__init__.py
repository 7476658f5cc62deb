"""Inputs to the decision core, as typed records."""

from sniperudder.inputs._callers import CallerDisconnected
from sniperudder.inputs._callers import OrderArrived
from sniperudder.inputs._callers import RequestArrived
from sniperudder.inputs._endpoints import LoadReported
from sniperudder.inputs._endpoints import StepFailed
from sniperudder.inputs._endpoints import StepReturned
from sniperudder.inputs._operators import CommandArrived
from sniperudder.inputs._operators import StopRequested
from sniperudder.inputs._peers import Heartbeat
from sniperudder.inputs._peers import HeartbeatLost
from sniperudder.inputs._peers import HeartbeatReceived
from sniperudder.inputs._peers import HeartbeatReturned
from sniperudder.inputs._peers import Member
from sniperudder.inputs._platform import Committed
from sniperudder.inputs._platform import Conflicted
from sniperudder.inputs._platform import InstancesListed
from sniperudder.inputs._platform import ListedInstance
from sniperudder.inputs._platform import NotSent
from sniperudder.inputs._platform import ScanReturned
from sniperudder.inputs._platform import TransactReturned
from sniperudder.inputs._platform import Unknown
from sniperudder.inputs._services import KeyLookupReturned
from sniperudder.inputs._services import ServiceReturned
from sniperudder.inputs._slot_messages import SlotMessageArrived
from sniperudder.inputs._slot_messages import SlotMessageLost
from sniperudder.inputs._transports import Delivery

__all__ = [
    'CallerDisconnected',
    'CommandArrived',
    'Committed',
    'Conflicted',
    'Delivery',
    'Heartbeat',
    'HeartbeatLost',
    'HeartbeatReceived',
    'HeartbeatReturned',
    'InstancesListed',
    'KeyLookupReturned',
    'ListedInstance',
    'LoadReported',
    'Member',
    'NotSent',
    'OrderArrived',
    'RequestArrived',
    'ScanReturned',
    'ServiceReturned',
    'SlotMessageArrived',
    'SlotMessageLost',
    'StepFailed',
    'StepReturned',
    'StopRequested',
    'TransactReturned',
    'Unknown',
]
