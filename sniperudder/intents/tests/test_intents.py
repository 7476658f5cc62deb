"""Tests of intents and their application to the configuration."""

import testtools

from sniperudder import intents
from sniperudder import tables

_INTENTS = (
    intents.Withdraw('gpu-1', force=True),
    intents.Return('gpu-1'),
    intents.StopInstance('entry-1'),
    intents.Shed(0.5, rank=tables.Rank.URGENT),
    intents.Shed(0.5, organisation='studio'),
    intents.Shed(0.5, model='drafts'),
    intents.Allow('gpu-1', (tables.Rank.URGENT, tables.Rank.LEAST)),
    intents.SetFloor(tables.Rank.LEAST, 0.1),
    intents.SetWeight('studio', 2.0),
    intents.Join('entry-1'),
    intents.Leave('entry-1'),
)


def _apply_intents(*operator_intents):
    config = tables.Configuration()
    for number, intent in enumerate(operator_intents, 1):
        kind, body = intents.encode_intent(intent)
        change = tables.Change(number, f'c{number}', 'ada', kind, body)
        config = intents.apply_change(config, change)
    return config


class CodecTest(testtools.TestCase):
    def test_every_kind_survives_a_round_trip(self):
        for intent in _INTENTS:
            encoded = intents.encode_intent(intent)
            self.assertEqual(intent, intents.decode_intent(*encoded))

    def test_unknown_kind_is_refused(self):
        with testtools.ExpectedException(ValueError):
            intents.decode_intent('Explode', '{}')

    def test_unknown_field_is_refused(self):
        with testtools.ExpectedException(ValueError):
            intents.decode_intent('Return', '{"gpu": "gpu-1"}')

    def test_shed_names_exactly_one_subject(self):
        with testtools.ExpectedException(ValueError):
            intents.Shed(0.5, rank=tables.Rank.URGENT, model='drafts')


class SubjectTest(testtools.TestCase):
    def test_withdraw_and_return_compete(self):
        self.assertEqual(
            intents.get_subject(intents.Withdraw('gpu-1')),
            intents.get_subject(intents.Return('gpu-1')),
        )

    def test_sheds_of_different_subjects_do_not_compete(self):
        subjects = {intents.get_subject(intent) for intent in _INTENTS[3:6]}
        self.assertEqual(3, len(subjects))


class ApplyTest(testtools.TestCase):
    def test_return_undoes_withdraw(self):
        config = _apply_intents(
            intents.Withdraw('gpu-1'), intents.Return('gpu-1')
        )
        self.assertEqual(set(), config.withdrawn)
        self.assertEqual(2, config.version)

    def test_shed_of_zero_ends_shedding(self):
        config = _apply_intents(
            intents.Shed(0.5, model='drafts'),
            intents.Shed(0.0, model='drafts'),
        )
        self.assertEqual({}, config.shed_models)

    def test_given_configuration_is_not_modified(self):
        before = _apply_intents(intents.Withdraw('gpu-1'))
        change = tables.Change(2, 'c2', 'ada', 'Join', '{"instance": "e"}')
        after = intents.apply_change(before, change)
        self.assertEqual(frozenset(), before.members)
        self.assertEqual({'e'}, after.members)

    def test_gap_between_versions_is_refused(self):
        change = tables.Change(2, 'c2', 'ada', 'Join', '{"instance": "e"}')
        with testtools.ExpectedException(ValueError):
            intents.apply_change(tables.Configuration(), change)

    def test_join_and_leave_change_members(self):
        config = _apply_intents(
            intents.Join('a'), intents.Join('b'), intents.Leave('a')
        )
        self.assertEqual({'b'}, config.members)
