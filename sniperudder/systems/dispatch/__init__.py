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
from sniperudder.systems.dispatch import _posts
from sniperudder.systems.dispatch._posts import post_message
from sniperudder.systems.dispatch._posts import register_receiver

__all__ = [
    'HANDLERS',
    'PURPOSES',
    'choose_chain',
    'get_placement',
    'has_chain',
    'is_chain_complete',
    'list_live_instances',
    'post_message',
    'register_receiver',
    'run_dispatch',
]

HANDLERS = {inputs.PostArrived: _posts.handle_post}

PURPOSES = {}

register_receiver(messages.AskSlot, _homes.handle_ask)
register_receiver(messages.ReleaseSlot, _homes.handle_release)
register_receiver(messages.HoldSlots, _homes.handle_holdings)
