"""Processing of operators' commands up to a committed change."""

from sniperudder.effects import CommandDone
from sniperudder.effects import Condition
from sniperudder.effects import LogEvent
from sniperudder.effects import Transact
from sniperudder.effects import Write
from sniperudder.inputs import Committed
from sniperudder.inputs import Conflicted
from sniperudder.inputs import Unknown
from sniperudder import intents
from sniperudder.outcomes import Code
from sniperudder.outcomes import CommittedAt
from sniperudder.outcomes import LostTo
from sniperudder.outcomes import NotDone
from sniperudder.outcomes import UnknownSoFar
from sniperudder.systems.configuration import _checks
from sniperudder.systems.configuration import _freshness
from sniperudder.systems.configuration import _history
from sniperudder.systems.configuration import _purposes
from sniperudder.systems.configuration import _rows
from sniperudder.systems.configuration import _snapshots
from sniperudder.tables import Change
from sniperudder.tables import Command
from sniperudder.tables import CommandState

_MAX_COMMANDS = 1000
_MAX_CONFLICT_BACKOFF_S = 0.05
_MIN_RETRY_BACKOFF_S = 0.3
_MIN_RECORD_BACKOFF_S = 1.0
_TIMED_OUT = NotDone(
    Code.PLATFORM_UNAVAILABLE, 'the platform did not answer in time'
)


def handle_command(T, inp, now):
    """Start an operator's command, or answer a repeated one.

    A repeated identifier with another intent is refused.
    """
    known = T.commands.get(inp.command)
    if known is None:
        T.commands[inp.command] = _create_command(T, inp, now)
        _drop_old_commands(T)
        return run_commands(T, now)
    if known.intent != inp.intent:
        outcome = NotDone(
            Code.IDEMPOTENCY_CONFLICT,
            'the identifier was used before for another command',
        )
        return [CommandDone(inp.command, outcome, inp.request)]
    if known.outcome is not None:
        return [CommandDone(inp.command, known.outcome, inp.request)]
    known.requests.append(inp.request)
    return []


def _create_command(T, inp, now):
    base = inp.at_version
    return Command(
        name=inp.command,
        operator=inp.operator,
        intent=inp.intent,
        base_version=T.config.version if base is None else base,
        force=inp.force,
        issued_at=inp.issued_at,
        started_at=now,
        requests=[inp.request],
    )


def _drop_old_commands(T):
    excess = len(T.commands) - _MAX_COMMANDS
    if excess <= 0:
        return
    done = [
        name
        for name, command in T.commands.items()
        if command.state is CommandState.DONE
    ]
    for name in done[:excess]:
        del T.commands[name]


def run_commands(T, now):
    """Advance commands that are due, oldest first.

    At most one command awaits the platform at a time.
    """
    effects = _resolve_from_history(T)
    for command in list(T.commands.values()):
        if command.state is CommandState.WAITING:
            return effects
    for command in list(T.commands.values()):
        is_due = now >= command.next_at
        if command.state is CommandState.READY and is_due:
            effects += _advance(T, command, now)
        if command.state is CommandState.WAITING:
            break
    return effects


def _resolve_from_history(T):
    """Finish commands whose change is in the history.

    This resolves commands whose commit got no answer.
    """
    effects = []
    for command in list(T.commands.values()):
        if command.state is CommandState.READY:
            effects += _resolve(T, command)
    return effects


def _resolve(T, command):
    changes = _history.get_changes(T, command.base_version) or ()
    for change in changes:
        if change.command_id == command.name:
            return _finish(command, CommittedAt(change.version))
    return []


def _advance(T, command, now):
    if now - command.started_at > T.policy.command_s:
        return _handle_timeout(command)
    head_unknown = T.head_at == float('-inf')
    if head_unknown or T.known_version > T.config.version:
        return []
    changes = _history.get_changes(T, command.base_version)
    if changes is None:
        detail = 'the given version is older than the history kept'
        return _record_outcome(command, NotDone(Code.BAD_FIELD, detail))
    conflict = _find_competing_change(command, changes)
    if conflict is not None:
        return _record_outcome(command, conflict)
    problem = _checks.check_intent(T, command.intent, command.force)
    if problem is not None:
        return _record_outcome(command, problem)
    return _commit(T, command)


def _find_competing_change(command, changes):
    if command.force:
        return None
    subject = intents.get_subject(command.intent)
    for change in reversed(changes):
        intent = intents.decode_intent(change.kind, change.body)
        if intents.get_subject(intent) == subject:
            return LostTo(change.version, change.command_id, change.operator)
    return None


def _commit(T, command):
    version = T.config.version + 1
    change = make_change(command, version)
    outcome = CommittedAt(version)
    value = _rows.encode_outcome(change.kind, change.body, outcome)
    command_key = _rows.make_command_key(command.name)
    command.state = CommandState.WAITING
    return [
        Transact(
            _purposes.CommitCommand(command.name, version),
            conditions=(
                Condition(_rows.HEAD_KEY, T.config.version),
                Condition(command_key, 0),
            ),
            writes=(
                Write(_rows.HEAD_KEY, command.name),
                Write(
                    _rows.make_change_key(version),
                    _rows.encode_change(change),
                ),
                Write(command_key, value),
            ),
            reads=(_rows.HEAD_KEY, command_key),
        )
    ]


def make_change(command, version):
    """Return the change that a command makes if committed at a version."""
    kind, body = intents.encode_intent(command.intent)
    return Change(
        version=version,
        command_id=command.name,
        operator=command.operator,
        kind=kind,
        body=body,
        issued_at=command.issued_at,
    )


def handle_commit_result(T, inp, now):
    """Process the result of a commit."""
    command = T.commands[inp.purpose.command]
    command.state = CommandState.READY
    match inp.outcome:
        case Committed():
            version = inp.purpose.version
            change = make_change(command, version)
            effects = _history.apply_changes(T, [change], now)
            _freshness.record_head(T, version, inp.sent_at)
            if version % _snapshots.SNAPSHOT_INTERVAL_VERSIONS == 0:
                effects.append(_snapshots.write_snapshot(T))
            return effects + _finish(command, CommittedAt(version))
        case Conflicted(rows=rows):
            head = _freshness.get_head_version(rows)
            _freshness.record_head(T, head, inp.sent_at)
            command.next_at = now + _MAX_CONFLICT_BACKOFF_S * T.rng.random()
            return _finish_from_rows(command, rows)
        case Unknown():
            command.in_doubt = True
    command.next_at = now + _MIN_RETRY_BACKOFF_S * (1 + T.rng.random())
    return []


def _finish_from_rows(command, rows):
    key = _rows.make_command_key(command.name)
    kind, body = intents.encode_intent(command.intent)
    for row in rows:
        if row.key == key:
            outcome = _rows.decode_outcome(kind, body, row.value)
            return _finish(command, outcome)
    return []


def _handle_timeout(command):
    """Answer "unknown so far" and try to record that the command timed out.

    The same command may have been given at another instance, so "not
    done" is only answered once the platform has stored that outcome.
    """
    return _report_unknown(command) + _record_outcome(command, _TIMED_OUT)


def _report_unknown(command):
    if command.outcome is not None:
        return []
    detail = 'no answer came' if command.in_doubt else 'nothing was sent'
    command.outcome = UnknownSoFar(detail)
    return _report(command)


def _record_outcome(command, outcome):
    """Store an outcome at the platform.

    Commits require that the command has no stored outcome, so later
    commits of the command fail.
    """
    kind, body = intents.encode_intent(command.intent)
    key = _rows.make_command_key(command.name)
    value = _rows.encode_outcome(kind, body, outcome)
    command.state = CommandState.WAITING
    return [
        Transact(
            _purposes.RecordOutcome(command.name, outcome),
            conditions=(Condition(key, 0),),
            writes=(Write(key, value),),
            reads=(key,),
        )
    ]


def handle_record_result(T, inp, now):
    """Process the result of storing an outcome."""
    command = T.commands[inp.purpose.command]
    command.state = CommandState.READY
    match inp.outcome:
        case Committed():
            return _finish(command, inp.purpose.outcome)
        case Conflicted(rows=rows):
            return _finish_from_rows(command, rows)
        case Unknown():
            command.in_doubt = True
    command.next_at = now + _MIN_RECORD_BACKOFF_S * (1 + T.rng.random())
    return []


def _finish(command, outcome):
    command.state = CommandState.DONE
    command.outcome = outcome
    event = LogEvent('command:done', command.name, repr(outcome))
    return [event, *_report(command)]


def _report(command):
    requests = command.requests
    outcome = command.outcome
    return [CommandDone(command.name, outcome, req) for req in requests]
