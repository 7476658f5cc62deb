"""Property tests of the ends of requests, in random cases."""

import testtools

from sniperudder.entry.tests import _exits


class ExitTest(testtools.TestCase):
    """Each request that was read gets a whole answer or a lawful cut.

    Guards against: a run at a sound endpoint was given up, a request was cut
    beside a change of the configuration, ended without a line in the log, or
    was sent in time on a connection that was closed without having been read.
    """

    def play(self, seeds, count, conversations, light=False):
        for seed in seeds:
            verdict = _exits.play(seed, count, conversations, light)
            self.assertEqual([], verdict.faults, '\n'.join(verdict.faults))

    def test_requests_at_one_instance(self):
        self.play((1, 2), 1, 40)

    def test_requests_at_eight_instances(self):
        self.play((3,), 8, 60)

    def test_requests_at_sixty_instances(self):
        self.play((4,), 60, 120, light=True)
