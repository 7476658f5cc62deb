"""What entries tell each other about slots of endpoints.

The entry that holds a caller asks the home of the request's model for
a slot on a chain of endpoints; the home grants, denies or revokes it.
"""

from sniperudder.messages._slots import AskSlot
from sniperudder.messages._slots import DenySlot
from sniperudder.messages._slots import ForgotSlots
from sniperudder.messages._slots import GrantSlot
from sniperudder.messages._slots import Holding
from sniperudder.messages._slots import HoldSlots
from sniperudder.messages._slots import ReleaseSlot
from sniperudder.messages._slots import RevokeSlot
from sniperudder.messages._slots import Sample

__all__ = [
    'AskSlot',
    'DenySlot',
    'ForgotSlots',
    'GrantSlot',
    'HoldSlots',
    'Holding',
    'ReleaseSlot',
    'RevokeSlot',
    'Sample',
]
