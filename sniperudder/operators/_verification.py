"""The evidence about a command as a table."""

from sniperudder import intents
from sniperudder.outcomes import CommittedAt
from sniperudder.outcomes import LostTo
from sniperudder.outcomes import NotDone
from sniperudder.outcomes import UnknownSoFar
from sniperudder import queries

_PLACES = ('instance', 'in_force', 'version', 'since_s', 'reason')
_SENT = ('last_sent_age_s', 'streams')


def create_sent_query(verification):
    """Return the query for the work of a withdrawn endpoint.

    Returns
    -------
    Query or None
        None where the command concerns no endpoint.
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
        columns=('instance', *_SENT),
        where=queries.Comparison('name', '=', endpoint),
    )


def tabulate_verification(verification, sent, now):
    """Return the evidence about a command as a result.

    Parameters
    ----------
    verification : Verification
    sent : Result or None
        Answer to the query of `create_sent_query`.
    now : float
        Seconds on the instance's clock.

    Returns
    -------
    Result
    """
    work = {row[0]: row[1:] for row in sent.rows} if sent else {}
    rows = []
    for place in verification.places:
        since_s = now - place.since if place.in_force else None
        row = (
            place.instance,
            place.in_force,
            place.version,
            since_s,
            place.reason,
        )
        if sent:
            row += work.get(place.instance, (None, None))
        rows.append(row)
    return queries.Result(
        columns=_PLACES + (_SENT if sent else ()),
        rows=rows,
        missing=sent.missing if sent else (),
        detail=describe_verification(verification),
    )


def get_state(verification):
    """Return the state of a command as one word for programs.

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
    """Return the state of a command as a sentence for people."""
    change = verification.change
    if change is None:
        return _describe_outcome(verification)
    intent = intents.decode_intent(change.kind, change.body)
    parts = [
        f'{queries.format_intent(intent)}, given by {change.operator} '
        f'as {verification.command}: version {change.version}, '
        f'{get_state(verification)}'
    ]
    lacking = [
        f'{place.instance} ({place.reason})'
        for place in verification.places
        if not place.in_force
    ]
    if lacking:
        word = 'without it' if verification.accepted else 'not yet at'
        parts.append(f'{word}: {", ".join(lacking)}')
    later = verification.superseded_by
    if later is not None:
        parts.append(
            f'superseded by {later.command_id} of {later.operator} '
            f'at version {later.version}'
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
