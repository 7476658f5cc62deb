"""Loading a settings file, and the tables from it."""

import copy
import dataclasses

from sniperudder import errors
from sniperudder.settings import _checks
from sniperudder.settings import _parsing
from sniperudder.settings import _reading
from sniperudder.tables import Instance
from sniperudder.tables import InstanceState


def load_settings(path):
    """Load a settings file with the secrets that it names.

    Parameters
    ----------
    path : str

    Returns
    -------
    Settings

    Raises
    ------
    SettingsError
        If there is any mistake; it holds all of them.
    """
    settings, mistakes = _read_file(path)
    settings.peer_key, more = _checks.read_peer_key(settings)
    if mistakes or more:
        raise errors.SettingsError([*mistakes, *more])
    return settings


def check_settings(path):
    """Return all mistakes of a settings file.

    Secrets that the file names are not read: they are where the
    instance runs.

    Parameters
    ----------
    path : str

    Returns
    -------
    list of Mistake
    """
    return _read_file(path)[1]


def _read_file(path):
    sections, mistakes = _parsing.parse_file(path)
    reading = _reading.read_sections(sections)
    if not sections and mistakes:
        # That all sections are missing would be said in vain.
        return reading.settings, mistakes
    mistakes += reading.mistakes
    mistakes += _checks.check_whole(reading)
    return reading.settings, mistakes


def fill_tables(T, settings):
    """Put what the settings say into the tables of an instance.

    The rows are copies, so that several tables can be filled.

    Parameters
    ----------
    T : sniperudder.tables.Tables
    settings : Settings
    """
    T.policy = copy.deepcopy(settings.policy)
    T.models = copy.deepcopy(settings.models)
    T.endpoints = copy.deepcopy(settings.endpoints)
    T.services = copy.deepcopy(settings.services)
    T.organisations = copy.deepcopy(settings.organisations)
    _fill_instances(T, settings)


def _fill_instances(T, settings):
    mine = settings.instance
    T.instances.setdefault(
        mine.name,
        Instance(
            mine.name,
            mine.peer_address,
            mine.data_centre,
            state=InstanceState.LIVE,
        ),
    )
    for peer in settings.peers.values():
        T.instances.setdefault(peer.name, Instance(**dataclasses.asdict(peer)))
