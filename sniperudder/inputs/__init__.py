"""Inputs to the decision core, as typed records."""

from sniperudder.inputs._callers import CallerLeft
from sniperudder.inputs._callers import OrderArrived
from sniperudder.inputs._callers import RequestArrived
from sniperudder.inputs._endpoints import LoadReported
from sniperudder.inputs._endpoints import StepFailed
from sniperudder.inputs._endpoints import StepReturned
from sniperudder.inputs._operators import CommandArrived
from sniperudder.inputs._operators import StopRequested
from sniperudder.inputs._peers import Beat
from sniperudder.inputs._peers import BeatLost
from sniperudder.inputs._peers import BeatReceived
from sniperudder.inputs._peers import BeatReturned
from sniperudder.inputs._peers import Member
from sniperudder.inputs._platform import Committed
from sniperudder.inputs._platform import Conflicted
from sniperudder.inputs._platform import InstancesListed
from sniperudder.inputs._platform import ListedInstance
from sniperudder.inputs._platform import NotSent
from sniperudder.inputs._platform import ScanReturned
from sniperudder.inputs._platform import TransactReturned
from sniperudder.inputs._platform import Unknown
from sniperudder.inputs._posts import PostArrived
from sniperudder.inputs._posts import PostLost
from sniperudder.inputs._services import ServiceReturned
from sniperudder.inputs._services import ServiceTold
from sniperudder.inputs._transports import Delivery

__all__ = [
    'Beat',
    'BeatLost',
    'BeatReceived',
    'BeatReturned',
    'CallerLeft',
    'CommandArrived',
    'Committed',
    'Conflicted',
    'Delivery',
    'InstancesListed',
    'ListedInstance',
    'LoadReported',
    'Member',
    'NotSent',
    'OrderArrived',
    'PostArrived',
    'PostLost',
    'RequestArrived',
    'ScanReturned',
    'ServiceReturned',
    'ServiceTold',
    'StepFailed',
    'StepReturned',
    'StopRequested',
    'TransactReturned',
    'Unknown',
]
