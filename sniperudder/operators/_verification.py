"""Tables and texts that describe the state of a command."""

from sniperudder import intents
from sniperudder.outcomes import CommittedAt
from sniperudder.outcomes import LostTo
from sniperudder.outcomes import NotDone
from sniperudder.outcomes import UnknownSoFar
from sniperudder import queries

_STATUS_COLUMNS = ('instance', 'in_force', 'version', 'since_s', 'reason')
_WORK_COLUMNS = ('last_sent_age_s', 'streams')


def create_work_query(verification):
    """Return the query for remaining work on the endpoint of a command.

    Returns
    -------
    Query or None
        None if the command does not refer to an endpoint.
    """
    change = verification.change
    if change is None:
        return None
    intent = intents.decode_intent(change.kind, change.body)
    endpoint = getattr(intent, 'endpoint', None)
    if endpoint is None:
        return None
    return queries.Query(
        table='endpoints',
        columns=('instance', *_WORK_COLUMNS),
        where=queries.Comparison('name', '=', endpoint),
    )


def tabulate_verification(verification, work_result, now):
    """Return the state of a command on each instance as a table.

    Parameters
    ----------
    verification : Verification
    work_result : Result or None
        Result of the query from `create_work_query`.
    now : float
        Seconds on the instance's clock.

    Returns
    -------
    Result
    """
    work_by_instance = (
        {row[0]: row[1:] for row in work_result.rows} if work_result else {}
    )
    rows = []
    for status in verification.statuses:
        since_s = now - status.since if status.in_force else None
        row = (
            status.instance,
            status.in_force,
            status.version,
            since_s,
            status.reason,
        )
        if work_result:
            row += work_by_instance.get(status.instance, (None, None))
        rows.append(row)
    return queries.Result(
        columns=_STATUS_COLUMNS + (_WORK_COLUMNS if work_result else ()),
        rows=rows,
        missing=work_result.missing if work_result else (),
        detail=describe_verification(verification),
    )


def get_state(verification):
    """Return the state of a command as a machine-readable string.

    Returns
    -------
    str
        ``unknown``, ``pending``, ``not done``, ``committed``,
        ``accepted`` or ``in force everywhere``.
    """
    if verification.in_force_everywhere:
        return 'in force everywhere'
    if verification.accepted:
        return 'accepted'
    match verification.outcome:
        case CommittedAt():
            return 'committed'
        case LostTo() | NotDone():
            return 'not done'
        case UnknownSoFar():
            return 'pending'
    return 'unknown'


def describe_verification(verification):
    """Return a human-readable description of the state of a command."""
    change = verification.change
    if change is None:
        return _describe_outcome(verification)
    intent = intents.decode_intent(change.kind, change.body)
    parts = [
        f'{queries.format_intent(intent)}, given by {change.operator} '
        f'as {verification.command}: version {change.version}, '
        f'{get_state(verification)}'
    ]
    not_in_force = [
        f'{status.instance} ({status.reason})'
        for status in verification.statuses
        if not status.in_force
    ]
    if not_in_force:
        label = 'without it' if verification.accepted else 'not yet at'
        parts.append(f'{label}: {", ".join(not_in_force)}')
    successor = verification.superseded_by
    if successor is not None:
        parts.append(
            f'superseded by {successor.command_id} of {successor.operator} '
            f'at version {successor.version}'
        )
    return '; '.join(parts)


def _describe_outcome(verification):
    match verification.outcome:
        case LostTo(version, command, operator):
            return (
                f'not done: {command} of {operator} changed the same '
                f'subject first, at version {version}'
            )
        case NotDone(code, detail):
            return f'not done, code {int(code)}: {detail}'
        case CommittedAt(version):
            return (
                f'committed at version {version}, '
                'which this instance does not have in force yet'
            )
        case UnknownSoFar():
            return 'the platform has not told yet; ask again'
    return f'no command {verification.command} is known here'
