"""The list of endpoints in force, from the platform's table.

After the store was restored from a copy, the table may list endpoints that
have left since, and lack some that have joined, until they write again.
"""

import asyncio
import dataclasses

from sniperudder import clocks
from sniperudder import fleet
from sniperudder import platform
from sniperudder import routing

# Number of heartbeats that an endpoint may miss before the platform removes
# its entry.
_MAX_MISSED_HEARTBEATS = 3


class EndpointList:
    """Applies changes of the platform's table of endpoints.

    Parameters
    ----------
    T : sniperudder.fleet.FleetTables
    crash_monitor : sniperudder.forwarding.CrashMonitor
    journal : Journal
    heartbeat_s : float
        Interval at which endpoints write their entries, seconds.
    """

    def __init__(self, T, crash_monitor, journal, heartbeat_s):
        self._T = T
        self._crash_monitor = crash_monitor
        self._journal = journal
        self._expiry_s = (
            fleet.RELISTING_S + _MAX_MISSED_HEARTBEATS * heartbeat_s
        )
        self._departures = fleet.DepartureTable(self._expiry_s)
        # Endpoints that a restored store does not list yet: the number of the
        # restoration by id.
        self._missing = {}
        self._restorations = 0
        # Entries that are taken for old ones, by id.
        self._doubted = {}

    def apply(self, rows, is_snapshot, is_restored):
        """Apply changed rows; see `sniperudder.feeds.TableCopy`."""
        now = clocks.read_clock()
        if is_restored:
            self._departures.begin_restoration(now)
            self._restorations += 1
            loop = asyncio.get_running_loop()
            loop.call_later(
                fleet.RELISTING_S, self._remove_missing, self._restorations
            )
            loop.call_later(self._expiry_s, self._end_doubts)
        if is_snapshot:
            names = self._T.endpoints.keys() - {row.key for row in rows}
            if is_restored:
                self._await_missing(names)
            for name in sorted(names - self._missing.keys()):
                self._remove(name, None, now)
            self._T.endpoints_known = True
        self._T.endpoint_list_updates += 1
        for row in rows:
            try:
                self._apply_row(row, is_snapshot, is_restored, now)
            except Exception as error:
                # The other rows of the update must still be applied.
                self._journal.write(
                    'endpoint:not applied',
                    row.key,
                    reason=f'{type(error).__name__}: {error}',
                )
        self._finish_update()

    def _finish_update(self):
        before = self._T.superseded
        fleet.update_superseded(self._T)
        for name in sorted(self._T.superseded - before):
            self._journal.write(
                'endpoint:superseded',
                name,
                address=self._T.endpoints[name].address,
            )
        fleet.drop_ended_states(self._T)

    def _await_missing(self, names):
        for name in sorted(names):
            self._missing[name] = self._restorations
            self._journal.write(
                'endpoint:awaited', name, wait_s=fleet.RELISTING_S
            )

    def _remove_missing(self, restoration):
        """Remove the endpoints that were not listed again in time."""
        now = clocks.read_clock()
        for name, missing_since in sorted(self._missing.items()):
            if missing_since <= restoration:
                self._remove(name, None, now)
                self._T.lapses.drop(name)
        self._finish_update()

    def _end_doubts(self):
        """Use the endpoints whose entries turned out to be current."""
        now = clocks.read_clock()
        for name, (entry, revision) in sorted(self._doubted.items()):
            if not self._departures.has_left((name, entry.born_ms), now):
                del self._doubted[name]
                self._store(entry, revision, now)
        self._finish_update()

    def _apply_row(self, row, is_snapshot, is_restored, now):
        if row.value is None:
            self._remove(row.key, row.revision, now)
            return
        try:
            entry = platform.decode_endpoint(row.key, row.value)
        except platform.DocumentError as error:
            self._journal.write(
                'endpoint:unreadable', row.key, reason=str(error)
            )
            self._remove(row.key, row.revision, now)
            return
        run_id = entry.id, entry.born_ms
        is_back = not is_snapshot and self._departures.record_written(run_id)
        if self._departures.has_left(run_id, now):
            known = self._T.endpoints.get(row.key)
            if is_restored and known and known.born_ms != entry.born_ms:
                # The entry is of an earlier run.
                self._await_missing([row.key])
                return
            if not entry.leaving:
                self._doubted[row.key] = entry, row.revision
                entry = dataclasses.replace(entry, leaving=True)
        else:
            self._doubted.pop(row.key, None)
            self._T.lapses.drop(row.key)
            is_back |= self._departures.record_written(run_id)
            known = self._T.endpoints.get(row.key, entry)
            if is_back and known.born_ms == entry.born_ms:
                self._crash_monitor.record_run_alive(entry)
            if entry.leaving:
                self._departures.record_leaving(run_id, now)
        if is_snapshot and _is_older(entry, self._T.endpoints.get(row.key)):
            return
        self._missing.pop(row.key, None)
        self._store(entry, row.revision, now)

    def _store(self, entry, revision, now):
        known = self._T.endpoints.get(entry.id)
        if known is not None and known.born_ms != entry.born_ms:
            self._departures.record_removed((known.id, known.born_ms), now)
            self._crash_monitor.record_run_end(known)
        if entry == known:
            return
        if (
            known is not None
            and known.born_ms == entry.born_ms
            and known.layers != entry.layers
        ):
            # The endpoint may now hold the layers whose absence made it reject
            # requests.
            routing.record_layers_changed(fleet.get_state(self._T, entry))
        self._T.endpoints[entry.id] = entry
        layers = entry.layers
        self._journal.write(
            'endpoint:listed',
            entry.id,
            address=entry.address,
            leaving=entry.leaving,
            layers=[layers.start, layers.end] if layers else None,
            revision=str(revision),
        )

    def _remove(self, name, revision, now):
        self._missing.pop(name, None)
        self._doubted.pop(name, None)
        known = self._T.endpoints.pop(name, None)
        if known is not None:
            run_id = name, known.born_ms
            self._departures.record_removed(run_id, now)
            self._crash_monitor.record_run_end(known)
            if not (known.leaving or self._T.notices.get(run_id).leaving):
                self._T.lapses.record_removed(known, now)
            self._journal.write(
                'endpoint:gone', name, revision=revision and str(revision)
            )


def _is_older(entry, known):
    """Return whether an entry is of an earlier report of a known run."""
    return (
        known is not None
        and known.born_ms == entry.born_ms != 0
        and known.report_number > entry.report_number
    )
