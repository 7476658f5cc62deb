"""Tests of copies of the store's tables."""

import random

import testtools

from sniperudder import feeds
from sniperudder import platform
from sniperudder import revisions


def at(version, era=1):
    """Return a revision."""
    return revisions.Revision(era, version)


def make_changes(version, rows, is_snapshot=False, era=1):
    """Return changes; rows are (key, row version, value)."""
    return feeds.Changes(
        't',
        at(version, era),
        is_snapshot,
        tuple(
            platform.StoredRow(key, value, at(row_version, era))
            for key, row_version, value in rows
        ),
    )


def get_position(copy):
    """Return the revision after which a copy needs the changes."""
    return copy.revision if copy.is_known else revisions.UNKNOWN


class TableCopyTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.applied = []
        self.copy = feeds.TableCopy(
            't', lambda rows, *_: self.applied.extend(rows)
        )
        self.copy.update(make_changes(5, [('a', 5, b'1')], True))

    def test_older_snapshot_is_ignored(self):
        changes = make_changes(4, [('a', 3, b'0')], True)
        self.assertFalse(self.copy.update(changes))
        self.assertEqual([b'1'], [row.value for row in self.applied])
        self.assertEqual(at(5), self.copy.revision)

    def test_changes_known_already_are_not_applied_again(self):
        changes = make_changes(7, [('a', 5, b'1'), ('b', 7, b'2')])
        self.assertTrue(self.copy.update(changes))
        self.assertEqual(['a', 'b'], [row.key for row in self.applied])

    def test_row_older_than_copy_is_not_applied(self):
        self.copy.update(make_changes(9, [('a', 9, b'3')]))
        self.copy.update(make_changes(9, [('a', 7, b'2')]))
        self.assertEqual([b'3'], [r.value for r in self.copy.list_rows()])

    def test_deleted_row_is_passed_on(self):
        self.copy.update(make_changes(8, [('a', 8, None)]))
        changes = self.copy.collect_changes(at(5))
        self.assertFalse(changes.is_snapshot)
        self.assertEqual([None], [row.value for row in changes.rows])
        self.assertEqual([], self.copy.list_rows())

    def test_gap_is_answered_with_snapshot(self):
        self.copy.update(make_changes(8, [('b', 8, b'2')]))
        changes = self.copy.collect_changes(at(4))
        self.assertTrue(changes.is_snapshot)
        self.assertEqual(['a', 'b'], [row.key for row in changes.rows])

    def test_deletions_are_remembered_up_to_a_bound(self):
        for version in range(6, 3_006):
            key = f'k{version}'
            self.copy.update(make_changes(version, [(key, version, None)]))
        self.assertLessEqual(len(self.copy.collect_changes(at(0)).rows), 1_001)
        self.assertTrue(self.copy.collect_changes(at(6)).is_snapshot)
        self.assertFalse(self.copy.collect_changes(at(3_000)).is_snapshot)

    def test_random_chains_of_copies_agree_with_the_table(self):
        # Three copies in a row; each asks the one before it, with lost and
        # repeated answers and restarts.
        for seed in range(200):
            self.check_chain(random.Random(seed), seed)

    def check_chain(self, rng, seed):
        """Check that a chain of copies ends with the table's rows."""
        chain = [feeds.TableCopy('t', lambda *_: None) for _ in range(3)]
        table = feeds.TableCopy('t', lambda *_: None)
        table.update(make_changes(1, [], True))
        answers = []
        for version in range(2, 60):
            key = f'k{rng.randrange(6)}'
            value = None if rng.random() < 0.3 else b'%d' % version
            table.update(make_changes(version, [(key, version, value)]))
            place = rng.randrange(3)
            if rng.random() < 0.05:
                chain[place] = feeds.TableCopy('t', lambda *_: None)
            source = chain[place - 1] if place else table
            if source.is_known:
                after = get_position(chain[place])
                answer = chain[place], after, source.collect_changes(after)
                answers.append(answer)
            if answers:
                copy, after, changes = rng.choice(answers)
                before = copy.revision
                if after <= before and (copy.is_known or changes.is_snapshot):
                    copy.update(changes)
                self.assertGreaterEqual(copy.revision, before, f'seed {seed}')
        for place, copy in enumerate(chain):
            source = chain[place - 1] if place else table
            after = get_position(copy)
            copy.update(source.collect_changes(after))
            self.assertEqual(
                {row.key: row for row in table.list_rows()},
                {row.key: row for row in copy.list_rows()},
                f'seed {seed}',
            )
