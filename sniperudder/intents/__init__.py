"""Operators' intents and their application to the configuration."""

from sniperudder.intents._changes import apply_change
from sniperudder.intents._codec import decode_intent
from sniperudder.intents._codec import encode_intent
from sniperudder.intents._intents import Allow
from sniperudder.intents._intents import get_subject
from sniperudder.intents._intents import Intent
from sniperudder.intents._intents import Join
from sniperudder.intents._intents import Leave
from sniperudder.intents._intents import Return
from sniperudder.intents._intents import SetFloor
from sniperudder.intents._intents import SetWeight
from sniperudder.intents._intents import Shed
from sniperudder.intents._intents import StopInstance
from sniperudder.intents._intents import Withdraw

__all__ = [
    'Allow',
    'Intent',
    'Join',
    'Leave',
    'Return',
    'SetFloor',
    'SetWeight',
    'Shed',
    'StopInstance',
    'Withdraw',
    'apply_change',
    'decode_intent',
    'encode_intent',
    'get_subject',
]
