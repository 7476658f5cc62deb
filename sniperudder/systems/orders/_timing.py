"""Times and limits of orders."""

from sniperudder.systems import configuration

_FIRST_DELAY_S = 0.1
_LONGEST_DELAY_S = 10.0
_LONGEST_POLL_S = 2.0
_ANSWER_SLACK_S = 1.0
# Retries of all orders of this instance together, per second.
_RETRY_RATE = 50.0

BACKGROUND_S = 3600.0
ANSWER_UNSTORED_S = 1.0
MAX_BACKGROUND_TRIES = 1000


def may_send(T, now):
    """Return whether this instance may give out work.

    Whether it is stopping plays no part: what it has accepted is
    finished.
    """
    return configuration.is_fresh(T, now)


def compute_start_by(order, service):
    """Return the time after which the order's call may not start.

    Where others may conclude from the service's answer that a call will
    not be run any more, half of the time that they wait is left as a
    margin for clocks that differ.
    """
    if service.repeatable or service.deduplicates or not service.lookup:
        return order.deadline
    return min(order.deadline, order.claimed_at + service.settle_s / 2)


def delay_retry(T, order, now):
    """Count a failure and set when the step is tried again.

    The more orders there are, the longer each waits, so that the end of
    an outage does not bring the next one.
    """
    delay_s = _compute_delay(T, order, _LONGEST_DELAY_S)
    crowd_s = len(T.orders) / _RETRY_RATE * T.rng.uniform(0.5, 1.5)
    order.next_at = now + max(delay_s, crowd_s)
    order.failures += 1


def delay_poll(T, order, now):
    """Set when the row or the service is looked at again."""
    order.next_at = now + _compute_delay(T, order, _LONGEST_POLL_S)
    order.failures += 1


def await_platform(T, order, now):
    """Return the serial number for a call to the platform."""
    return _await(order, now + 2 * T.policy.platform_timeout_s)


def await_service(T, order, now):
    """Return the serial number for a call or question."""
    return _await(order, now + 2 * T.policy.order_timeout_s)


def _await(order, overdue_at):
    order.serial += 1
    order.pending = order.serial
    order.overdue = False
    order.next_at = overdue_at + _ANSWER_SLACK_S
    return order.serial


def _compute_delay(T, order, longest_s):
    delay_s = min(longest_s, _FIRST_DELAY_S * 2 ** min(order.failures, 10))
    return delay_s * T.rng.uniform(0.5, 1.0)
