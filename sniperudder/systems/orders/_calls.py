"""Calls to services, and lookups of the results of earlier calls."""

from sniperudder import effects
from sniperudder import errors
from sniperudder import inputs
from sniperudder import outcomes
from sniperudder.systems.orders import _claims
from sniperudder.systems.orders import _completion
from sniperudder.systems.orders import _rows
from sniperudder.systems.orders import _timing
from sniperudder.tables import OrderState

# An order makes at most two calls per worker, but the limit is no lower than
# this, so that services with a single worker are retried several times too.
_MIN_MAX_CALLS = 4
_MAX_STALE_CHECKS = 5
_UNRESOLVED_STATES = (
    OrderState.ASKING,
    OrderState.MARKING,
    OrderState.LISTENING,
)


def may_call(T, call, now):
    """Return whether a call may still be sent.

    The client's thread checks this immediately before it sends the call,
    since the process may have been suspended after the decision to send.

    Parameters
    ----------
    T : Tables
    call : CallService
    now : float
        Seconds.
    """
    order = T.orders.get(call.order)
    if order is None or order.state is not OrderState.CALLING:
        return False
    if call.address != order.address or call.address in T.config.withdrawn:
        return False
    return now < call.start_by and _timing.may_send(T, now)


def call_service(T, order, now):
    """Call the service, or end or delay the order if it must not."""
    service = T.services[order.service]
    if order.left and not order.open_calls:
        code = outcomes.Code.LEFT_BEFORE_START
        return _completion.end_not_run(T, order, now, code)
    if now >= _timing.compute_start_by(order, service):
        return _handle_missed_start(T, order, now)
    if not _timing.may_send(T, now):
        return _await_fresh_configuration(T, order, now)
    address = _choose_worker(T, order, service)
    if address is None:
        return _end_unreachable(T, order, now)
    return _send_call(T, order, service, address, now)


def look_up_result(T, order, now):
    """Look up the result of the order's key at the service."""
    if order.owns_claim and now >= order.background_deadline:
        return _completion.end_in_doubt(T, order, now)
    service = T.services[order.service]
    lookup_number = _timing.expect_service_reply(T, order, now)
    order.lookup_sent_at = now
    return [
        effects.LookUpKey(
            order=order.name,
            address=T.rng.choice(service.addresses),
            key=_format_key(order),
            lookup_number=lookup_number,
        )
    ]


def handle_call_result(T, order, inp, now):
    """Handle the result of a call, or the report that there is none."""
    order.unreported_calls = max(0, order.unreported_calls - 1)
    if inp.delivery is None:
        if order.result is not None or not order.open_calls:
            return [effects.LogEvent('order:late-answer', order.name)]
        return _completion.accept_result(T, order, now, inp.status, inp.body)
    if inp.delivery is inputs.Delivery.NOT_SENT and order.open_calls:
        order.open_calls -= 1
    if order.state is not OrderState.CALLING:
        return _handle_late_report(T, order, now)
    if not order.pending or inp.address != order.address:
        return []
    order.pending = 0
    if inp.delivery is inputs.Delivery.LOST:
        return handle_lost_call(T, order, now)
    return _retry_call(T, order, now)


def handle_lost_call(T, order, now):
    """Continue after a call that may or may not have run."""
    service = T.services[order.service]
    if service.repeatable or service.deduplicates:
        return _retry_call(T, order, now)
    if not service.lookup:
        return _completion.end_in_doubt(T, order, now)
    _completion.enter_state(order, OrderState.ASKING, now)
    return []


def handle_lookup(T, order, inp, now):
    """Handle the reply to a lookup of the order's key."""
    order.pending = 0
    if inp.answered and inp.found:
        order.repeated = not order.owns_claim
        return _completion.accept_result(T, order, now, inp.status, inp.body)
    if not inp.answered or inp.started or not _is_settled(T, order):
        return _retry_lookup(T, order, now)
    # The service has not run a call with this key and will not run one.
    if not order.owns_claim:
        _claims.begin_claim(T, order, now, order.row_version)
        return []
    order.open_calls = 0
    code = outcomes.Code.SERVICE_UNREACHABLE
    return _completion.end_not_run(T, order, now, code)


def _is_settled(T, order):
    since = order.claimed_at if order.owns_claim else order.seen_at
    return order.lookup_sent_at >= since + T.services[order.service].settle_s


def _retry_lookup(T, order, now):
    if order.owns_claim:
        _timing.schedule_retry(T, order, now)
        return []
    order.state = OrderState.WAITING
    _timing.schedule_poll(T, order, now)
    return []


def _handle_missed_start(T, order, now):
    if order.open_calls:
        return _completion.end_in_doubt(T, order, now)
    if now < order.deadline and not order.answered:
        _claims.begin_claim(T, order, now, order.row_version, order.takes_over)
        return []
    code = outcomes.Code.DEADLINE_BEFORE_START
    return _completion.end_not_run(T, order, now, code)


def _await_fresh_configuration(T, order, now):
    if order.failures < _MAX_STALE_CHECKS:
        _timing.schedule_poll(T, order, now)
        return []
    if order.open_calls:
        return _completion.end_in_doubt(T, order, now)
    code = outcomes.Code.NOT_FRESH
    return _completion.end_not_run(T, order, now, code)


def _choose_worker(T, order, service):
    withdrawn = T.config.withdrawn
    allowed = [a for a in service.addresses if a not in withdrawn]
    others = [a for a in allowed if a != order.address]
    candidates = others or allowed
    return T.rng.choice(candidates) if candidates else None


def _send_call(T, order, service, address, now):
    safe = service.repeatable or service.deduplicates
    if order.open_calls and not safe:
        raise errors.InvariantBroken(
            f'{order.name}: second call while an earlier one may have run'
        )
    if not order.owns_claim and not service.repeatable:
        raise errors.InvariantBroken(f'{order.name}: call without a claim')
    start_by = _timing.compute_start_by(order, service)
    order.open_calls += 1
    order.unreported_calls += 1
    order.tries += 1
    order.address = address
    _timing.expect_service_reply(T, order, now)
    return [
        effects.CallService(
            order=order.name,
            address=address,
            key=_format_key(order),
            body=order.body,
            start_by=start_by,
        )
    ]


def _retry_call(T, order, now):
    workers = len(T.services[order.service].addresses)
    if order.tries >= max(_MIN_MAX_CALLS, 2 * workers):
        return _end_unreachable(T, order, now)
    if order.open_calls or order.tries >= workers:
        _timing.schedule_retry(T, order, now)
    else:
        order.next_action_at = now
    return []


def _handle_late_report(T, order, now):
    """Handle the late report of a call that was treated as lost."""
    if order.state is OrderState.LISTENING and not order.unreported_calls:
        order.next_action_at = now
    if order.open_calls or order.result is not None or not order.owns_claim:
        return []
    if order.state not in _UNRESOLVED_STATES:
        return []
    if order.answered:
        code = outcomes.Code.SERVICE_UNREACHABLE
        return _completion.end_not_run(T, order, now, code)
    _completion.enter_state(order, OrderState.CALLING, now)
    return []


def _end_unreachable(T, order, now):
    if order.open_calls:
        return _completion.end_in_doubt(T, order, now)
    code = outcomes.Code.SERVICE_UNREACHABLE
    return _completion.end_not_run(T, order, now, code)


def _format_key(order):
    return _rows.format_service_key(
        order.organisation, order.service, order.key
    )
