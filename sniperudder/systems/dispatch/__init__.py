"""Allocation of endpoint slots to requests; see docs/DISPATCH.md."""

from sniperudder import inputs
from sniperudder import messages
from sniperudder.systems.dispatch._chains import choose_chain
from sniperudder.systems.dispatch._chains import has_chain
from sniperudder.systems.dispatch._chains import is_chain_complete
from sniperudder.systems.dispatch import _homes
from sniperudder.systems.dispatch._homes import run_dispatch
from sniperudder.systems.dispatch._placements import get_placement
from sniperudder.systems.dispatch._placements import list_live_instances
from sniperudder.systems.dispatch import _slot_messages
from sniperudder.systems.dispatch._slot_messages import register_receiver
from sniperudder.systems.dispatch._slot_messages import send_slot_message

__all__ = [
    'HANDLERS',
    'PURPOSES',
    'choose_chain',
    'get_placement',
    'has_chain',
    'is_chain_complete',
    'list_live_instances',
    'register_receiver',
    'run_dispatch',
    'send_slot_message',
]

HANDLERS = {inputs.SlotMessageArrived: _slot_messages.handle_slot_message}

PURPOSES = {}

register_receiver(messages.AskSlot, _homes.handle_ask)
register_receiver(messages.ReleaseSlot, _homes.handle_release)
register_receiver(messages.HoldSlots, _homes.handle_holdings)
