"""How instances know of each other, see docs/CONFIGURATION.md."""

from sniperudder.inputs import BeatLost
from sniperudder.inputs import BeatReceived
from sniperudder.inputs import BeatReturned
from sniperudder.inputs import InstancesListed
from sniperudder.systems.membership import _intake
from sniperudder.systems.membership import _listing
from sniperudder.systems.membership import _records
from sniperudder.systems.membership import _rounds
from sniperudder.tables import Instance
from sniperudder.tables import InstanceState

__all__ = [
    'HANDLERS',
    'PURPOSES',
    'add_seed',
    'add_self',
    'run_membership',
]

HANDLERS = {
    BeatLost: _intake.take_loss,
    BeatReceived: _intake.take_request,
    BeatReturned: _intake.take_answer,
    InstancesListed: _listing.take_list,
}

PURPOSES = {}


def add_self(T, address, incarnation):
    """Add this instance's own record; to be done once, at the start.

    Parameters
    ----------
    T : sniperudder.tables.Tables
    address : str
        ``host:port`` of its peer interface.
    incarnation : int
        Larger than at any earlier start under this name, such as the
        wall-clock time in milliseconds.

    Examples
    --------
    >>> from sniperudder.tables import create_tables
    >>> T = create_tables('entry-1', 'milan')
    >>> add_self(T, '127.0.0.1:9000', 7)
    >>> T.instances['entry-1'].incarnation
    7
    """
    own = Instance(T.me, address, T.data_centre, incarnation)
    own.state = InstanceState.LIVE
    T.instances[T.me] = own


def add_seed(T, member):
    """Add an instance that the settings name, for starts in an outage.

    Parameters
    ----------
    T : sniperudder.tables.Tables
    member : sniperudder.inputs.Member
    """
    _records.note_place(T, member)


def run_membership(T, now):
    """Do what is due: read the list, send heartbeats.

    Parameters
    ----------
    T : sniperudder.tables.Tables
    now : float

    Returns
    -------
    list of effects
    """
    return _listing.list_instances(T, now) + _rounds.send_beats(T, now)
