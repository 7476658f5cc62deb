"""Carrying eliot's task ids from process to process."""

import re

import eliot

# Header of HTTP calls; thrift carries the same text as a string.
TASK_HEADER = 'X-Eliot-Task'

_TASK = re.compile(
    r'(?P<task>[0-9a-f-]{36}@(?:/[0-9]{1,9}){1,20});(?P<clock>[0-9]{1,18})',
    re.ASCII,
)


def make_task(log):
    """Return text that lets another process continue this action.

    Parameters
    ----------
    log : Log

    Returns
    -------
    str
        Eliot's task id and the value of the Lamport clock; empty
        outside of any action.
    """
    action = eliot.current_action()
    if action is None:
        return ''
    # Eliot's id is reserved first: the clock must not be older.
    task = action.serialize_task_id().decode('ascii')
    return f'{task};{log.clock.advance()}'


def continue_task(log, text, action_type, **fields):
    """Return an action that continues the one of another process.

    Text that is empty or malformed starts a new task. Text that comes
    from outside the system must not be passed on: it would move the
    clock.

    Parameters
    ----------
    log : Log
    text : str
        As ``make_task`` gave it.
    action_type : str
    **fields
        Fields of the action's first message.

    Returns
    -------
    eliot.Action
        A context manager.
    """
    match = _TASK.fullmatch(text or '')
    if match is None:
        return eliot.start_task(action_type=action_type, **fields)
    log.clock.observe(int(match['clock']))
    return eliot.Action.continue_task(
        task_id=match['task'], action_type=action_type, **fields
    )
