"""Membership: discovery and liveness of instances, by heartbeats.

See docs/CONFIGURATION.md.
"""

from sniperudder.inputs import HeartbeatLost
from sniperudder.inputs import HeartbeatReceived
from sniperudder.inputs import HeartbeatReturned
from sniperudder.inputs import InstancesListed
from sniperudder.systems.membership import _handlers
from sniperudder.systems.membership import _listing
from sniperudder.systems.membership import _records
from sniperudder.systems.membership import _rounds
from sniperudder.tables import Instance
from sniperudder.tables import InstanceState

__all__ = [
    'HANDLERS',
    'PURPOSES',
    'add_own_record',
    'add_seed',
    'run_membership',
]

HANDLERS = {
    HeartbeatLost: _handlers.handle_heartbeat_loss,
    HeartbeatReceived: _handlers.handle_heartbeat,
    HeartbeatReturned: _handlers.handle_heartbeat_answer,
    InstancesListed: _listing.handle_instance_list,
}

PURPOSES = {}


def add_own_record(T, address, incarnation):
    """Add this instance's own record; call once, at the start.

    Parameters
    ----------
    T : sniperudder.tables.Tables
    address : str
        ``host:port`` of its peer interface.
    incarnation : int
        Number greater than at any earlier start under this name, such
        as the wall-clock time in milliseconds.

    Examples
    --------
    >>> from sniperudder.tables import create_tables
    >>> T = create_tables('entry-1', 'milan')
    >>> add_own_record(T, '127.0.0.1:9000', 7)
    >>> T.instances['entry-1'].incarnation
    7
    """
    own = Instance(T.me, address, T.data_centre, incarnation)
    own.state = InstanceState.LIVE
    T.instances[T.me] = own


def add_seed(T, member):
    """Add an instance named in the settings.

    Such seeds allow an instance to find its peers when it starts during
    an outage of the platform.

    Parameters
    ----------
    T : sniperudder.tables.Tables
    member : sniperudder.inputs.Member
    """
    _records.record_address(T, member)


def run_membership(T, now):
    """Read the list of instances and send heartbeats when they are due.

    Parameters
    ----------
    T : sniperudder.tables.Tables
    now : float
        Seconds.

    Returns
    -------
    list of effects
    """
    return _listing.list_instances(T, now) + _rounds.send_heartbeats(T, now)
