"""Effects requested by the decision core, as typed records."""

from sniperudder.effects._endpoints import CancelStream
from sniperudder.effects._endpoints import SendStep
from sniperudder.effects._endpoints import Step
from sniperudder.effects._operators import CommandDone
from sniperudder.effects._peers import AnswerBeat
from sniperudder.effects._peers import SendBeat
from sniperudder.effects._platform import Condition
from sniperudder.effects._platform import ListInstances
from sniperudder.effects._platform import Row
from sniperudder.effects._platform import Scan
from sniperudder.effects._platform import Transact
from sniperudder.effects._platform import Write
from sniperudder.effects._posts import Post
from sniperudder.effects._replies import EmitToken
from sniperudder.effects._replies import Finish
from sniperudder.effects._replies import Note
from sniperudder.effects._services import AskService
from sniperudder.effects._services import CallService

__all__ = [
    'AnswerBeat',
    'AskService',
    'CallService',
    'CancelStream',
    'CommandDone',
    'Condition',
    'EmitToken',
    'Finish',
    'ListInstances',
    'Note',
    'Post',
    'Row',
    'Scan',
    'SendBeat',
    'SendStep',
    'Step',
    'Transact',
    'Write',
]
