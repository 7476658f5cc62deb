"""Tests of parts of prompts that crash endpoints."""

import random

import testtools

from sniperudder.systems.membership import _suspicions
from sniperudder.systems.suspicion import _parts
from sniperudder.systems.suspicion import _suspicion
from sniperudder import tables


def make_keys(prompt):
    """Return the keys of the parts of a prompt."""
    return _parts.make_part_keys('m', prompt)


class PartTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.T = tables.create_tables('entry-0', 'north')
        self.crashes = 0

    def record(self, *prompts, count=1):
        """Record crashes, all confirmed, during which prompts ran."""
        for _ in range(count):
            self.crashes += 1
            for prompt in prompts:
                _parts.record_part_crash(
                    self.T, make_keys(prompt), f'gone:{self.crashes}', 1.0
                )

    def is_condemned(self, prompt):
        """Return whether a prompt must not run."""
        return _parts.has_condemned_parts(self.T, make_keys(prompt), 100.0)

    def test_shared_part_is_condemned_after_five_crashes(self):
        for number in range(4):
            self.record(f'poison {number}')
        self.assertFalse(self.is_condemned('poison 9'))
        self.record('poison 4')
        self.assertTrue(self.is_condemned('poison 9'))
        self.assertFalse(self.is_condemned('sound 9'))

    # Guards against: a sound part that always came with the cause blocked
    # prompts that hold only the sound one.
    def test_only_prompts_with_all_possible_causes_are_condemned(self):
        self.record('say poison', count=5)
        self.assertTrue(self.is_condemned('say poison 2'))
        self.assertFalse(self.is_condemned('say hello'))
        self.assertFalse(self.is_condemned('poison'))
        _parts.clear_parts(self.T, make_keys('say hello'), 100.0)
        self.assertTrue(self.is_condemned('poison'))

    def test_parts_of_sound_neighbours_are_cleared(self):
        for number in range(5):
            self.record(f'poison {number}', 'sound words')
            _parts.clear_parts(self.T, make_keys('sound words'), 100.0)
        self.assertFalse(self.is_condemned('sound words'))
        self.assertTrue(self.is_condemned('poison sound words'))

    def test_refuted_crashes_do_not_count(self):
        self.record('poison', count=5)
        _suspicion.refute_crash(self.T, 'gone', '3', 50.0)
        self.assertFalse(self.is_condemned('poison'))

    def test_sample_of_a_long_prompt_finds_a_shared_text(self):
        rng = random.Random(3)
        shared = ' '.join(f'shared{number}' for number in range(200))
        found = 0
        for seed in range(50):
            own = ' '.join(str(rng.random()) for _ in range(200))
            other = ' '.join(str(rng.random()) for _ in range(200))
            first, second = make_keys(shared + own), make_keys(shared + other)
            found += bool(first & second)
            self.assertLessEqual(len(first), 16)
        self.assertGreater(found, 45)

    def test_memory_is_bounded(self):
        self.record('poison', count=2)
        for number in range(400):
            self.record(' '.join(f'{number}-{word}' for word in range(20)))
        self.assertLessEqual(len(self.T.part_suspicions), 5_000)
        self.assertIn(*make_keys('poison'), self.T.part_suspicions)


class ExchangeTest(testtools.TestCase):
    # Guards against: instances that each saw one of the crashes never counted
    # them together.
    def test_crashes_of_several_instances_count_together(self):
        instances = [
            tables.create_tables('entry-0', 'north') for _ in range(5)
        ]
        for number, T in enumerate(instances):
            noise = ' '.join(f'{number}-{word}' for word in range(12))
            keys = make_keys('poison') | make_keys(noise)
            _parts.record_part_crash(T, keys, f'gone:{number}', 1.0)
        for _ in range(20):
            for sender in instances:
                sent = _suspicions.select_suspicions(sender, 2.0)
                self.assertLessEqual(len(sent), 32)
                for receiver in instances:
                    if receiver is not sender:
                        _suspicions.merge_suspicions(receiver, sent, 2.0)
        for T in instances:
            self.assertTrue(
                _parts.has_condemned_parts(T, make_keys('poison 2'), 100.0)
            )
            self.assertEqual({}, T.suspicions)
