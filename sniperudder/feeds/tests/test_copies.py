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


def create_known_copy(supersedes=None):
    """Return a copy at 1/99 with a row, and the calls of `apply`."""
    applied = []
    copy = feeds.TableCopy(
        't',
        lambda rows, is_snapshot, is_restored: applied.append(
            ([row.value for row in rows], is_snapshot, is_restored)
        ),
        supersedes,
    )
    copy.update(make_changes(99, [('a', 97, b'12')], True))
    applied.clear()
    return copy, applied


def is_newer(row, known):
    """Order rows by their values."""
    return int(row.value) >= int(known.value)


class RestoredTableTest(testtools.TestCase):
    """The store was restored from a copy that lacks what was known."""

    def test_snapshot_of_later_era_is_reported_as_restored_once(self):
        copy, applied = create_known_copy()
        for version in (92, 93):
            rows = [('a', version - 2, b'9')]
            self.assertTrue(copy.update(make_changes(version, rows, True, 2)))
        self.assertEqual(
            [([b'9'], True, True), ([b'9'], True, False)], applied
        )

    def test_snapshot_of_earlier_era_is_ignored(self):
        copy, applied = create_known_copy()
        copy.update(make_changes(92, [('a', 90, b'9')], True, 3))
        for era in (1, 2):
            changes = make_changes(500, [('a', 500, b'15')], True, era)
            self.assertFalse(copy.update(changes))
        self.assertEqual(1, len(applied))

    def test_changes_of_later_era_need_a_snapshot_first(self):
        # The version has been passed again, so that only the era differs.
        copy, applied = create_known_copy()
        changes = make_changes(120, [('b', 110, b'1')], False, 2)
        self.assertFalse(copy.update(changes))
        self.assertEqual((at(99), []), (copy.revision, applied))

    # Guards against: a source that had read the restored store sent its
    # followers changes after a version of the earlier era only.
    def test_follower_of_earlier_era_is_sent_all_rows(self):
        copy, _ = create_known_copy()
        rows = [('a', 90, b'9'), ('b', 120, b'1')]
        copy.update(make_changes(120, rows, True, 2))
        for after in (at(99), at(120), at(500)):
            self.assertTrue(copy.has_changes(after))
            changes = copy.collect_changes(after)
            self.assertTrue(changes.is_snapshot)
            self.assertEqual(2, len(changes.rows))

    def test_follower_of_later_era_is_sent_nothing(self):
        copy, _ = create_known_copy()
        self.assertFalse(copy.has_changes(at(3, era=2)))
        changes = copy.collect_changes(at(3, era=2))
        self.assertEqual((False, ()), (changes.is_snapshot, changes.rows))

    # Guards against: two copies of the same restored table told each other of
    # changes behind what they had read, and called the store again.
    def test_copies_of_a_restored_table_agree_on_its_last_change(self):
        for rows, last in (([('b', 90, b'9')], 90), ([], 0)):
            for version in (92, 95):
                copy, _ = create_known_copy()
                copy.update(make_changes(version, rows, True, 2))
                self.assertEqual(at(last, era=2), copy.changed_revision)
                self.assertGreater(copy.changed_revision, at(99))


class OwnOrderTest(testtools.TestCase):
    """The rows of a table state their own order."""

    def get_values(self, copy):
        """Return the values of all rows."""
        return [row.value for row in copy.list_rows()]

    # Guards against: followers were sent the row that the store had gone back
    # to, and not the one in force.
    def test_newest_row_is_kept_and_passed_on(self):
        for rows in ([('a', 90, b'9')], []):
            copy, _ = create_known_copy(is_newer)
            copy.update(make_changes(92, rows, True, 2))
            self.assertEqual([b'12'], self.get_values(copy))
            sent = copy.collect_changes(revisions.UNKNOWN).rows
            self.assertEqual([b'12'], [row.value for row in sent])
            # The operators write an older one first.
            copy.update(make_changes(94, [('a', 94, b'11')], False, 2))
            self.assertEqual([b'12'], self.get_values(copy))
            copy.update(make_changes(96, [('a', 96, b'13')], False, 2))
            self.assertEqual([b'13'], self.get_values(copy))

    def test_newer_row_is_taken_from_a_copy_of_an_earlier_era(self):
        copy, applied = create_known_copy(is_newer)
        copy.update(make_changes(92, [('b', 91, b'1')], True, 2))
        applied.clear()
        changes = make_changes(120, [('a', 119, b'15'), ('b', 3, b'0')], True)
        self.assertFalse(copy.update(changes))
        self.assertEqual([([b'15'], False, False)], applied)
        self.assertEqual({b'15', b'1'}, set(self.get_values(copy)))
        # Rows written later are still found behind it.
        copy.update(make_changes(95, [('c', 95, b'3')], False, 2))
        rows = copy.collect_changes(at(93, era=2)).rows
        self.assertEqual([b'3'], [row.value for row in rows])
