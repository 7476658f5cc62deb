"""Reading of the platform's list of instances, which may lag."""

from sniperudder.effects import ListInstances
from sniperudder.inputs import Member
from sniperudder.systems import configuration
from sniperudder.systems.membership import _records

_LIST_INTERVAL_S = 5.0
_LIST_JITTER = 0.2


def list_instances(T, now):
    """Read the platform's list when that is due."""
    if now < T.next_list_at:
        return []
    interval_s = _LIST_INTERVAL_S * (1 - _LIST_JITTER * T.rng.random())
    T.next_list_at = now + interval_s
    return [ListInstances()]


def handle_instance_list(T, inp, now):
    """Update the records from the platform's list.

    Returns
    -------
    list of effects
        Removal of a member that has ended, if any.
    """
    if inp.instances is None:
        return []
    T.listed_at = now
    listed = {instance.name: instance for instance in inp.instances}
    for instance in inp.instances:
        _apply_listed_instance(T, instance)
    for name in _records.list_roster_members(T) | set(T.instances):
        if name != T.me and name not in listed:
            _record_absence(T, name, now)
    return configuration.remove_ended_member(T, now)


def _apply_listed_instance(T, instance):
    if instance.name == T.me:
        return
    peer = _records.get_peer(T, instance.name)
    peer.listed = True
    peer.absent_since = None
    if not peer.address:
        member = Member(
            instance.name,
            instance.address,
            instance.data_centre,
            peer.incarnation,
        )
        _records.record_address(T, member)


def _record_absence(T, name, now):
    peer = _records.get_peer(T, name)
    peer.listed = False
    if peer.absent_since is None:
        peer.absent_since = now
