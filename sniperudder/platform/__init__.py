"""Client of the platform: metadata store, documents, headers and orders."""

from sniperudder.platform._documents import DocumentError
from sniperudder.platform._documents import read_configuration
from sniperudder.platform._documents import read_endpoint
from sniperudder.platform._documents import read_settings
from sniperudder.platform._headers import AnswerHead
from sniperudder.platform._headers import make_answer_headers
from sniperudder.platform._headers import make_call_headers
from sniperudder.platform._headers import make_forwarded
from sniperudder.platform._headers import make_send_headers
from sniperudder.platform._headers import read_answer_head
from sniperudder.platform._headers import read_request_head
from sniperudder.platform._headers import RequestHead
from sniperudder.platform._headers import write_path
from sniperudder.platform._orders import EngineReport
from sniperudder.platform._orders import make_place_order
from sniperudder.platform._orders import make_repath_order
from sniperudder.platform._orders import ORDER_TARGET
from sniperudder.platform._orders import read_fault_address
from sniperudder.platform._orders import read_report
from sniperudder.platform._orders import REPORT_TARGET
from sniperudder.platform._orders import StalledRequest
from sniperudder.platform._store import CONFIGURATION_KEY
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
    'AnswerHead',
    'CONFIGURATION_KEY',
    'CONFIGURATION_TABLE',
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
    'Rows',
    'SETTINGS_VARIABLE',
    'StalledRequest',
    'Store',
    'StoredRow',
    'Unavailable',
    'Written',
    'make_answer_headers',
    'make_call_headers',
    'make_forwarded',
    'make_place_order',
    'make_repath_order',
    'make_send_headers',
    'read_answer_head',
    'read_configuration',
    'read_endpoint',
    'read_fault_address',
    'read_report',
    'read_request_head',
    'read_settings',
    'write_path',
]
