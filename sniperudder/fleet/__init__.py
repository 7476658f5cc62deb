"""Data classes for the configuration, endpoints and this instance."""

from sniperudder.fleet._configuration import Accelerator
from sniperudder.fleet._configuration import Configuration
from sniperudder.fleet._configuration import EngineProfile
from sniperudder.fleet._configuration import Limits
from sniperudder.fleet._configuration import Organisation
from sniperudder.fleet._configuration import Route
from sniperudder.fleet._configuration import Service
from sniperudder.fleet._configuration import Target
from sniperudder.fleet._crossings import CrossingCounter
from sniperudder.fleet._crossings import list_crossings
from sniperudder.fleet._departures import DepartureTable
from sniperudder.fleet._endpoints import Endpoint
from sniperudder.fleet._endpoints import EndpointState
from sniperudder.fleet._endpoints import Layers
from sniperudder.fleet._endpoints import Stage
from sniperudder.fleet._lapses import LapseTable
from sniperudder.fleet._lapses import RELISTING_S
from sniperudder.fleet._notices import Notice
from sniperudder.fleet._notices import NoticeTable
from sniperudder.fleet._notices import Restrictions
from sniperudder.fleet._quotas import Quota
from sniperudder.fleet._quotas import QuotaTable
from sniperudder.fleet._settings import Bounds
from sniperudder.fleet._settings import Features
from sniperudder.fleet._settings import InstanceSettings
from sniperudder.fleet._speeds import SpeedTable
from sniperudder.fleet._tables import drop_ended_states
from sniperudder.fleet._tables import FleetTables
from sniperudder.fleet._tables import get_load
from sniperudder.fleet._tables import get_state
from sniperudder.fleet._tables import is_serving
from sniperudder.fleet._tables import list_endpoints
from sniperudder.fleet._tables import update_superseded

__all__ = [
    'Accelerator',
    'Bounds',
    'Configuration',
    'CrossingCounter',
    'DepartureTable',
    'Endpoint',
    'EndpointState',
    'EngineProfile',
    'Features',
    'FleetTables',
    'InstanceSettings',
    'LapseTable',
    'Layers',
    'Limits',
    'Notice',
    'NoticeTable',
    'Organisation',
    'Quota',
    'QuotaTable',
    'RELISTING_S',
    'Restrictions',
    'Route',
    'Service',
    'SpeedTable',
    'Stage',
    'Target',
    'drop_ended_states',
    'get_load',
    'get_state',
    'is_serving',
    'list_crossings',
    'list_endpoints',
    'update_superseded',
]
