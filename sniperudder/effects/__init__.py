"""Effects requested by the decision core, as typed records."""

from sniperudder.effects._endpoints import CancelStream
from sniperudder.effects._endpoints import SendStep
from sniperudder.effects._endpoints import Step
from sniperudder.effects._operators import CommandDone
from sniperudder.effects._peers import AnswerHeartbeat
from sniperudder.effects._peers import SendHeartbeat
from sniperudder.effects._platform import Condition
from sniperudder.effects._platform import ListInstances
from sniperudder.effects._platform import Row
from sniperudder.effects._platform import Scan
from sniperudder.effects._platform import Transact
from sniperudder.effects._platform import Write
from sniperudder.effects._replies import EmitToken
from sniperudder.effects._replies import LogEvent
from sniperudder.effects._replies import SendOutcome
from sniperudder.effects._services import CallService
from sniperudder.effects._services import LookUpKey
from sniperudder.effects._slot_messages import SendSlotMessage

__all__ = [
    'AnswerHeartbeat',
    'CallService',
    'CancelStream',
    'CommandDone',
    'Condition',
    'EmitToken',
    'ListInstances',
    'LogEvent',
    'LookUpKey',
    'Row',
    'Scan',
    'SendHeartbeat',
    'SendOutcome',
    'SendSlotMessage',
    'SendStep',
    'Step',
    'Transact',
    'Write',
]
