"""Propagating eliot task ids between processes."""

import re

import eliot

# HTTP header; thrift calls carry the same text in a string field.
TASK_HEADER = 'X-Eliot-Task'

_TASK_PATTERN = re.compile(
    r'(?P<task>[0-9a-f-]{36}@(?:/[0-9]{1,9}){1,20});(?P<clock>[0-9]{1,18})',
    re.ASCII,
)


def serialize_task(log):
    """Serialize the current action, for another process to continue.

    Parameters
    ----------
    log : Log

    Returns
    -------
    str
        The eliot task id and the Lamport clock value; empty outside of
        any action.
    """
    action = eliot.current_action()
    if action is None:
        return ''
    # The task id is reserved before the clock is advanced: the clock
    # value must not be older than the reserved level.
    task = action.serialize_task_id().decode('ascii')
    return f'{task};{log.clock.advance()}'


def continue_task(log, text, action_type, **fields):
    """Continue an action of another process.

    Empty or malformed text starts a new task. Text from outside the
    system must not be passed in, since it could advance the clock
    arbitrarily.

    Parameters
    ----------
    log : Log
    text : str
        As returned by ``serialize_task``.
    action_type : str
    **fields
        Fields of the first message of the action.

    Returns
    -------
    eliot.Action
        To be used as a context manager.
    """
    match = _TASK_PATTERN.fullmatch(text or '')
    if match is None:
        return eliot.start_task(action_type=action_type, **fields)
    log.clock.observe(int(match['clock']))
    return eliot.Action.continue_task(
        task_id=match['task'], action_type=action_type, **fields
    )
