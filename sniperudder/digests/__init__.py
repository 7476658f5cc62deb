"""Load and failure digests that instances exchange."""

from sniperudder.digests._codec import decode_digest
from sniperudder.digests._codec import DigestError
from sniperudder.digests._codec import encode_digest
from sniperudder.digests._crash_reports import Crash
from sniperudder.digests._crash_reports import CrashReport
from sniperudder.digests._crash_reports import limit_crash_report
from sniperudder.digests._exchange import DigestExchange
from sniperudder.digests._peers import Peer
from sniperudder.digests._peers import PeerTable
from sniperudder.digests._peers import REMOVE_AFTER_S
from sniperudder.digests._records import Digest
from sniperudder.digests._records import Fault
from sniperudder.digests._records import Load
from sniperudder.digests._records import Scope
from sniperudder.digests._restrictions import MAX_RESTRICTIONS
from sniperudder.digests._restrictions import Restriction
from sniperudder.digests._speeds import MAX_SPEEDS
from sniperudder.digests._speeds import merge_speeds
from sniperudder.digests._speeds import Speed
from sniperudder.digests._sums import add_digests
from sniperudder.digests._sums import subtract_digest

__all__ = [
    'Crash',
    'CrashReport',
    'Digest',
    'DigestError',
    'DigestExchange',
    'Fault',
    'Load',
    'MAX_RESTRICTIONS',
    'MAX_SPEEDS',
    'Peer',
    'PeerTable',
    'REMOVE_AFTER_S',
    'Restriction',
    'Scope',
    'Speed',
    'add_digests',
    'decode_digest',
    'encode_digest',
    'limit_crash_report',
    'merge_speeds',
    'subtract_digest',
]
