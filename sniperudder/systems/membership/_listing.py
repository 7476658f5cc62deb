"""The platform's lagging list of instances."""

from sniperudder.effects import ListInstances
from sniperudder.inputs import Member
from sniperudder.systems import configuration
from sniperudder.systems.membership import _records

_LIST_S = 5.0
_LIST_JITTER = 0.2


def list_instances(T, now):
    """Read the list when that is due."""
    if now < T.next_list_at:
        return []
    pause = _LIST_S * (1 - _LIST_JITTER * T.rng.random())
    T.next_list_at = now + pause
    return [ListInstances()]


def take_list(T, inp, now):
    """Take in the platform's list."""
    if inp.instances is None:
        return []
    T.listed_at = now
    listed = {entry.name: entry for entry in inp.instances}
    for entry in inp.instances:
        _take_entry(T, entry)
    for name in _records.find_counted(T) | set(T.instances):
        if name != T.me and name not in listed:
            _note_absence(T, name, now)
    return configuration.drop_members(T, now)


def _take_entry(T, entry):
    if entry.name == T.me:
        return
    peer = _records.get_peer(T, entry.name)
    peer.listed = True
    peer.absent_since = None
    if not peer.address:
        place = Member(
            entry.name, entry.address, entry.data_centre, peer.incarnation
        )
        _records.note_place(T, place)


def _note_absence(T, name, now):
    peer = _records.get_peer(T, name)
    peer.listed = False
    if peer.absent_since is None:
        peer.absent_since = now
