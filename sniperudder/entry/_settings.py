"""Following the settings file, also where no signal tells of a change."""

import dataclasses

from sniperudder import platform

# Settings that the process cannot change while it serves.
_FIXED = frozenset(
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
    """The settings in force, and the file that they come from.

    Parameters
    ----------
    load : callable
        Reads the file; raises OSError or DocumentError.
    settings : sniperudder.fleet.InstanceSettings
        Those that the process started with.
    journal : Journal

    Attributes
    ----------
    settings : sniperudder.fleet.InstanceSettings
    """

    __slots__ = ('_journal', '_load', '_reason', 'settings')

    def __init__(self, load, settings, journal):
        self._load = load
        self._journal = journal
        self._reason = None
        self.settings = settings

    def look(self):
        """Read the file again; return whether the settings changed.

        A file that cannot be read leaves the settings as they are.
        """
        try:
            found = self._load()
        except (OSError, platform.DocumentError) as error:
            reason = str(error)
            if reason != self._reason:
                self._reason = reason
                self._journal.write('settings:unreadable', reason=reason)
            return False
        self._reason = None
        if found == self.settings:
            return False
        changed = [
            field.name
            for field in dataclasses.fields(found)
            if getattr(found, field.name) != getattr(self.settings, field.name)
        ]
        self.settings = found
        self._journal.write(
            'settings:reloaded',
            found.name,
            changed=changed,
            in_force_after_start=sorted(_FIXED.intersection(changed)),
        )
        return True
