"""Client of the platform: metadata store, documents, headers and orders."""

from sniperudder.platform._configurations import CONFIGURATION_KEY
from sniperudder.platform._configurations import ConfigurationDecoder
from sniperudder.platform._configurations import decode_configuration
from sniperudder.platform._documents import decode_endpoint
from sniperudder.platform._documents import decode_host
from sniperudder.platform._documents import decode_port
from sniperudder.platform._documents import decode_settings
from sniperudder.platform._documents import DocumentError
from sniperudder.platform._documents import get_field
from sniperudder.platform._documents import parse_object
from sniperudder.platform._headers import decode_request_head
from sniperudder.platform._headers import decode_response_head
from sniperudder.platform._headers import filter_request_headers
from sniperudder.platform._headers import filter_response_headers
from sniperudder.platform._headers import format_path
from sniperudder.platform._headers import make_control_headers
from sniperudder.platform._headers import make_request_headers
from sniperudder.platform._headers import RequestHead
from sniperudder.platform._headers import ResponseHead
from sniperudder.platform._notices import decode_notice
from sniperudder.platform._orders import decode_fault_address
from sniperudder.platform._orders import decode_report
from sniperudder.platform._orders import EngineReport
from sniperudder.platform._orders import make_place_order
from sniperudder.platform._orders import make_reroute_order
from sniperudder.platform._orders import ORDER_TARGET
from sniperudder.platform._orders import REPORT_TARGET
from sniperudder.platform._orders import StalledRequest
from sniperudder.platform._store import BLOCKS_KEY
from sniperudder.platform._store import CONFIGURATION_TABLE
from sniperudder.platform._store import Conflict
from sniperudder.platform._store import ENDPOINTS_TABLE
from sniperudder.platform._store import HistoryGone
from sniperudder.platform._store import INSTANCES_TABLE
from sniperudder.platform._store import LEASES_TABLE
from sniperudder.platform._store import Rows
from sniperudder.platform._store import Store
from sniperudder.platform._store import StoredRow
from sniperudder.platform._store import Unavailable
from sniperudder.platform._store import Written

READY_TARGET = '/readiness'
SETTINGS_VARIABLE = 'SNIPERUDDER_CONFIG'

__all__ = [
    'BLOCKS_KEY',
    'CONFIGURATION_KEY',
    'CONFIGURATION_TABLE',
    'ConfigurationDecoder',
    'Conflict',
    'DocumentError',
    'ENDPOINTS_TABLE',
    'EngineReport',
    'HistoryGone',
    'INSTANCES_TABLE',
    'LEASES_TABLE',
    'ORDER_TARGET',
    'READY_TARGET',
    'REPORT_TARGET',
    'RequestHead',
    'ResponseHead',
    'Rows',
    'SETTINGS_VARIABLE',
    'StalledRequest',
    'Store',
    'StoredRow',
    'Unavailable',
    'Written',
    'decode_configuration',
    'decode_endpoint',
    'decode_fault_address',
    'decode_host',
    'decode_notice',
    'decode_port',
    'decode_report',
    'decode_request_head',
    'decode_response_head',
    'decode_settings',
    'filter_request_headers',
    'filter_response_headers',
    'format_path',
    'get_field',
    'make_control_headers',
    'make_place_order',
    'make_request_headers',
    'make_reroute_order',
    'parse_object',
]
