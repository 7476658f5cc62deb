"""Thrift client and server for messages between entry instances."""

from sniperudder.peers._client import create_peer_client
from sniperudder.peers._client import PeerClient
from sniperudder.peers._codec import decode_heartbeat
from sniperudder.peers._codec import encode_heartbeat
from sniperudder.peers._server import create_peer_server
from sniperudder.peers._server import PeerServer

__all__ = [
    'PeerClient',
    'PeerServer',
    'create_peer_client',
    'create_peer_server',
    'decode_heartbeat',
    'encode_heartbeat',
]
