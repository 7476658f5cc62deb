"""Load and failure digests that instances exchange."""

from sniperudder.digests._codec import decode_digest
from sniperudder.digests._codec import DigestError
from sniperudder.digests._codec import encode_digest
from sniperudder.digests._exchange import DigestExchange
from sniperudder.digests._peers import Peer
from sniperudder.digests._peers import PeerTable
from sniperudder.digests._records import Digest
from sniperudder.digests._records import Fault
from sniperudder.digests._records import Load

__all__ = [
    'Digest',
    'DigestError',
    'DigestExchange',
    'Fault',
    'Load',
    'Peer',
    'PeerTable',
    'decode_digest',
    'encode_digest',
]
