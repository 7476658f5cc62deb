"""Tables of one instance: the state that all systems share."""

from sniperudder.tables._commands import Command
from sniperudder.tables._commands import CommandState
from sniperudder.tables._configuration import Acceptance
from sniperudder.tables._configuration import Change
from sniperudder.tables._configuration import Configuration
from sniperudder.tables._configuration import Roster
from sniperudder.tables._endpoints import Endpoint
from sniperudder.tables._endpoints import EndpointState
from sniperudder.tables._endpoints import Model
from sniperudder.tables._endpoints import Service
from sniperudder.tables._instances import Instance
from sniperudder.tables._instances import InstanceState
from sniperudder.tables._orders import Order
from sniperudder.tables._orders import OrderState
from sniperudder.tables._orders import WrittenOrder
from sniperudder.tables._organisations import Organisation
from sniperudder.tables._ranks import Rank
from sniperudder.tables._ranks import RankPolicy
from sniperudder.tables._ranks import RANKS
from sniperudder.tables._refusals import Refusal
from sniperudder.tables._requests import AbandonedStep
from sniperudder.tables._requests import Request
from sniperudder.tables._requests import RequestState
from sniperudder.tables._requests import Stage
from sniperudder.tables._suspicions import Suspicion
from sniperudder.tables._tables import create_tables
from sniperudder.tables._tables import Policy
from sniperudder.tables._tables import Tables
from sniperudder.tables._tickets import GrantRate
from sniperudder.tables._tickets import Ticket

__all__ = [
    'AbandonedStep',
    'Acceptance',
    'Change',
    'Command',
    'CommandState',
    'Configuration',
    'Endpoint',
    'EndpointState',
    'Instance',
    'InstanceState',
    'Model',
    'Order',
    'OrderState',
    'Organisation',
    'Policy',
    'RANKS',
    'Rank',
    'RankPolicy',
    'Refusal',
    'Request',
    'RequestState',
    'Roster',
    'Service',
    'Stage',
    'Suspicion',
    'GrantRate',
    'Ticket',
    'Tables',
    'WrittenOrder',
    'create_tables',
]
