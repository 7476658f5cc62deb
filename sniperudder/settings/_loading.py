"""Loading a settings file, and filling the tables from it."""

import copy
import dataclasses

from sniperudder import errors
from sniperudder.settings import _checks
from sniperudder.settings import _parsing
from sniperudder.settings import _reading
from sniperudder.tables import Instance
from sniperudder.tables import InstanceState


def load_settings(path):
    """Load a settings file, and the secrets that it refers to.

    Parameters
    ----------
    path : str

    Returns
    -------
    Settings

    Raises
    ------
    SettingsError
        If the file has mistakes; the exception holds all of them.
    """
    settings, mistakes = _read_file(path)
    settings.peer_key, key_mistakes = _checks.read_peer_key(settings)
    if mistakes or key_mistakes:
        raise errors.SettingsError([*mistakes, *key_mistakes])
    return settings


def check_settings(path):
    """Return all mistakes of a settings file.

    Secrets that the file refers to are not read, since they may exist
    only on the machine of the instance.

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
    result = _reading.read_sections(sections)
    if not sections and mistakes:
        # The file was not parsed: reporting each required section as missing
        # would be misleading.
        return result.settings, mistakes
    mistakes += result.mistakes
    mistakes += _checks.check_consistency(result)
    return result.settings, mistakes


def fill_tables(T, settings):
    """Fill the tables of an instance from its settings.

    The rows are copied, so that one settings object can fill several
    sets of tables.

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
    own_settings = settings.instance
    T.instances.setdefault(
        own_settings.name,
        Instance(
            own_settings.name,
            own_settings.peer_address,
            own_settings.data_centre,
            state=InstanceState.LIVE,
        ),
    )
    for peer in settings.peers.values():
        T.instances.setdefault(peer.name, Instance(**dataclasses.asdict(peer)))
