"""Settings of an instance, loaded from an INI file."""

from sniperudder.settings._keys import find_key
from sniperudder.settings._keys import find_operator
from sniperudder.settings._loading import check_settings
from sniperudder.settings._loading import fill_tables
from sniperudder.settings._loading import load_settings
from sniperudder.settings._pages import render_settings
from sniperudder.settings._records import InstanceSettings
from sniperudder.settings._records import Key
from sniperudder.settings._records import Link
from sniperudder.settings._records import Mistake
from sniperudder.settings._records import Operator
from sniperudder.settings._records import Peer
from sniperudder.settings._records import PlatformSettings
from sniperudder.settings._records import Role
from sniperudder.settings._records import Settings

__all__ = [
    'InstanceSettings',
    'Key',
    'Link',
    'Mistake',
    'Operator',
    'Peer',
    'PlatformSettings',
    'Role',
    'Settings',
    'check_settings',
    'fill_tables',
    'find_key',
    'find_operator',
    'load_settings',
    'render_settings',
]
