"""Deadlines, retry delays and limits of orders."""

from sniperudder.systems import configuration

_INITIAL_DELAY_S = 0.1
_MAX_DELAY_S = 10.0
_MAX_POLL_DELAY_S = 2.0
_REPLY_MARGIN_S = 1.0
# Retries of all orders of this instance together, per second.
_RETRIES_PER_S = 50.0

BACKGROUND_TIMEOUT_S = 3600.0
MAX_STORE_WAIT_S = 1.0
MAX_BACKGROUND_TRIES = 1000


def may_send(T, now):
    """Return whether this instance may send work to services.

    This requires a current configuration. A stopping instance may send as
    well, since it completes the orders that it has accepted.
    """
    return configuration.is_fresh(T, now)


def compute_start_by(order, service):
    """Return the time after which the order's call must not start.

    For a service with lookup, other instances conclude that a call will
    not run if the service does not know its key ``settle_s`` after the
    claim. The call must start within half of this time; the other half is
    a margin for clock skew.
    """
    if service.repeatable or service.deduplicates or not service.lookup:
        return order.deadline
    return min(order.deadline, order.claimed_at + service.settle_s / 2)


def schedule_retry(T, order, now):
    """Count a failure and schedule the next try of the action.

    The delay grows with the number of orders, so that their retries after
    an outage do not cause the next one.
    """
    delay_s = _compute_delay(T, order, _MAX_DELAY_S)
    spread_s = len(T.orders) / _RETRIES_PER_S * T.rng.uniform(0.5, 1.5)
    order.next_action_at = now + max(delay_s, spread_s)
    order.failures += 1


def schedule_poll(T, order, now):
    """Count a failure and schedule the next poll.

    Polls have a shorter maximum delay than retries.
    """
    order.next_action_at = now + _compute_delay(T, order, _MAX_POLL_DELAY_S)
    order.failures += 1


def expect_platform_reply(T, order, now):
    """Expect a reply from the platform; return its serial number."""
    return _expect_reply(order, now + 2 * T.policy.platform_timeout_s)


def expect_service_reply(T, order, now):
    """Expect a reply from the service; return its serial number."""
    return _expect_reply(order, now + 2 * T.policy.order_timeout_s)


def _expect_reply(order, expected_by):
    order.serial += 1
    order.pending = order.serial
    order.wait_extended = False
    order.next_action_at = expected_by + _REPLY_MARGIN_S
    return order.serial


def _compute_delay(T, order, max_delay_s):
    delay_s = min(max_delay_s, _INITIAL_DELAY_S * 2 ** min(order.failures, 10))
    return delay_s * T.rng.uniform(0.5, 1.0)
