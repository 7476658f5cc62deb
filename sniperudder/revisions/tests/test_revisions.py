"""Tests of the order of a store's states."""

import testtools

from sniperudder import revisions


class RevisionTest(testtools.TestCase):
    # Guards against: a state of an earlier era was taken for a later one
    # because its version is higher.
    def test_later_era_is_later_whatever_its_version(self):
        before = revisions.Revision(1, 99)
        for version in (0, 92, 99, 120):
            self.assertLess(before, revisions.Revision(2, version))

    def test_comparison_with_plain_version_fails(self):
        self.assertRaises(TypeError, lambda: revisions.Revision(1, 9) < 10)
        self.assertRaises(TypeError, lambda: max(revisions.UNKNOWN, 3))
