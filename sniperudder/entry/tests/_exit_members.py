"""Instances of random cases."""

import dataclasses

from sniperudder.entry import _entry
from sniperudder.entry.tests import _members
from sniperudder import platform
from sniperudder import revisions

__all__ = ['CLOSES_AFTER_S', 'PlayedMember']

_GRACE_S = 1.6

# The instance closes this long before the end of its grace period.
_EXIT_MARGIN_S = 0.2

# Time from the beginning of a planned stop to its end, seconds.
CLOSES_AFTER_S = _GRACE_S - _EXIT_MARGIN_S


class PlayedMember(_members.Member):
    """A real instance; a light one is given its tables by hand."""

    def __init__(self, case, name, is_first_start=True):
        super().__init__(name, case.store.address, is_first_start)
        self.stop_at = None
        self._case = case
        bounds = dataclasses.replace(self.settings.bounds, grace_s=_GRACE_S)
        self.settings = dataclasses.replace(self.settings, bounds=bounds)
        self.instance = _entry.Entry(
            self.settings, lambda: self.settings, self.journal
        )

    async def start(self):
        """Start the instance."""
        instance = self.instance
        instance._T.instances_known = True
        if not self._case.light:
            await instance.start()
            return
        await instance._caller_server.start(self.settings.callers_address)

        async def close():
            instance._caller_server.close()

        instance.close = close
        instance._endpoint_list.apply(self._read_rows('servers'), True, False)
        self.apply_configuration()

    def apply_configuration(self):
        """Apply the configuration that the store holds."""
        self.instance._apply_configuration(self._read_rows('op'), False, False)

    def _read_rows(self, table):
        return [
            platform.StoredRow(key, value, revisions.Revision(1, version))
            for (name, key), (value, version) in self._case.store.rows.items()
            if name == table
        ]
