"""Messages between entry instances about slots on endpoints.

The home of a model is the entry instance that allocates the slots of the
model's endpoints. The instance that a caller is connected to asks the
home for a slot on a chain of endpoints; the home grants, denies or
revokes it.
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
