"""Reloading of the settings file, with or without a signal."""

import dataclasses

from sniperudder import platform

# Settings that take effect only when the process starts.
_FIXED_AT_START = frozenset(
    {
        'callers_address',
        'data_centre',
        'host',
        'name',
        'peer_port',
        'ready_address',
    }
)


class SettingsFile:
    """The current settings and the file that they are loaded from.

    Parameters
    ----------
    load : callable
        Loads the file; raises OSError or DocumentError.
    settings : sniperudder.fleet.InstanceSettings
        Settings with which the process started.
    journal : Journal

    Attributes
    ----------
    settings : sniperudder.fleet.InstanceSettings
    """

    __slots__ = ('_journal', '_last_error', '_load', 'settings')

    def __init__(self, load, settings, journal):
        self._load = load
        self._journal = journal
        self._last_error = None
        self.settings = settings

    def reload(self):
        """Reload the file and return whether the settings changed.

        If the file cannot be read, the current settings are kept.
        """
        try:
            loaded = self._load()
        except (OSError, platform.DocumentError) as error:
            reason = str(error)
            if reason != self._last_error:
                self._last_error = reason
                self._journal.write('settings:unreadable', reason=reason)
            return False
        self._last_error = None
        if loaded == self.settings:
            return False
        changed = [
            field.name
            for field in dataclasses.fields(loaded)
            if getattr(loaded, field.name)
            != getattr(self.settings, field.name)
        ]
        self.settings = loaded
        self._journal.write(
            'settings:reloaded',
            loaded.name,
            changed=changed,
            in_force_after_start=sorted(_FIXED_AT_START.intersection(changed)),
        )
        return True
