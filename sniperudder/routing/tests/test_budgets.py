"""Tests of the retry budget that all instances share.

The pattern: all instances start at the same moment, before engines that refuse
most requests as they hold no layers yet.
"""

import testtools

from sniperudder import routing

# The users' bounds at 195 instances.
_RATIO = 0.2
_WINDOW_S = 10.0
_SLACK = 574.0
_INSTANCES = 195


class SlackShareTest(testtools.TestCase):
    def spend(self, known_instances, requests):
        """Retry as often as allowed; return the number at all instances."""
        spent = 0
        for _ in range(_INSTANCES):
            budget = routing.RetryBudget(_RATIO, _WINDOW_S)
            for _ in range(requests):
                budget.record_request(0.0)
            slack = routing.get_slack_share(_SLACK, known_instances)
            while budget.spend(0.0, slack):
                spent += 1
        return spent

    # Guards against: each of 195 instances that had just started spent a
    # twelfth of the slack, as it knew none of the others yet.
    def test_instances_that_know_no_others_stay_within_the_budget(self):
        for known_instances in (None, _INSTANCES):
            spent = self.spend(known_instances, requests=17)
            allowed = _RATIO * 17 * _INSTANCES + _SLACK
            self.assertLessEqual(spent, allowed)

    def test_ratio_is_spent_before_the_list_is_read(self):
        self.assertGreater(self.spend(None, requests=17), 0)
