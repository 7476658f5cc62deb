"""Tests of settings that change while an instance serves."""

import asyncio
import dataclasses

import testtools

from sniperudder.entry import _settings
from sniperudder.entry.tests import _fleets
from sniperudder import platform
from standins import fleet as standins

_SETTINGS = _fleets.make_settings()


def list_versions(fleet_):
    """Return the configuration versions that were applied, in order."""
    return [
        subject
        for event, subject, _ in fleet_.journal.lines
        if event == 'configuration:in force'
    ]


class SettingsFileTest(testtools.TestCase):
    def reload(self, *contents):
        """Reload a settings file that has each given content in turn."""
        remaining = list(contents)

        def load():
            content = remaining.pop(0)
            if isinstance(content, Exception):
                raise content
            return content

        self.journal = _fleets.RecordingJournal()
        file = _settings.SettingsFile(load, _SETTINGS, self.journal)
        return file, [file.reload() for _ in contents]

    def test_unchanged_settings_are_not_logged(self):
        _, changed = self.reload(dataclasses.replace(_SETTINGS))
        self.assertEqual([False], changed)
        self.assertEqual([], self.journal.lines)

    def test_changed_fields_are_logged(self):
        new = dataclasses.replace(
            _SETTINGS, host='h', platform_address='127.0.0.1:9'
        )
        file, changed = self.reload(new)
        self.assertEqual([True], changed)
        self.assertEqual(new, file.settings)
        line = self.journal.list_events('settings:reloaded')[0]
        self.assertEqual(['host', 'platform_address'], line['changed'])
        self.assertEqual(['host'], line['in_force_after_start'])

    def test_unreadable_file_keeps_settings_and_is_logged_once(self):
        bad = platform.DocumentError('node: None')
        file, changed = self.reload(bad, bad, OSError('gone'), _SETTINGS, bad)
        self.assertEqual([False] * 5, changed)
        self.assertEqual(_SETTINGS, file.settings)
        reasons = [
            line['reason']
            for line in self.journal.list_events('settings:unreadable')
        ]
        self.assertEqual(['node: None', 'gone', 'node: None'], reasons)


class ReloadTest(testtools.TestCase):
    def test_changed_file_is_applied_without_signal(self):
        # The store moves to another address, and only the settings file shows
        # this.
        desk = standins.EndpointStandin('desk-1', 'desk')
        new_store = standins.StoreStandin()

        async def run():
            async with _fleets.run_fleet(desk) as fleet_:
                await new_store.start()
                new_store.version = 50
                new_store.put_json(
                    'op', 'config', standins.make_configuration(version=2)
                )
                desk.list_in(new_store)
                fleet_.settings = dataclasses.replace(
                    fleet_.settings, platform_address=new_store.address
                )
                await fleet_.await_event('settings:reloaded')
                # Ends the long poll at the old address.
                fleet_.store.forget_history()
                async with asyncio.timeout(2):
                    while len(list_versions(fleet_)) < 2:
                        await asyncio.sleep(0.01)
                status, _, _ = await fleet_.send('/safe/a')
                return status, list_versions(fleet_)

        try:
            status, versions = asyncio.run(run())
        finally:
            asyncio.run(new_store.stop())
        self.assertEqual((200, ['1', '2']), (status, versions))
