"""Merging the logs of several processes into causal order."""

import dataclasses
import json

# Fields with a meaning of their own; all others are rendered as detail.
COMMON_FIELDS = frozenset(
    (
        'action_status',
        'action_type',
        'clock',
        'detail',
        'instance',
        'message_type',
        'sequence',
        'subject',
        'task_level',
        'task_uuid',
        'timestamp',
    )
)


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """An event read from one line of a log.

    Attributes
    ----------
    clock : int
        Value of the Lamport clock.
    instance : str
        Name of the process that logged the event.
    sequence : int
        Number of the line in the log of its process.
    time : float
        Wall-clock time, seconds since 1970.
    kind, subject, detail : str
    task : str
        UUID of the eliot task.
    level : tuple of int
        Task level of eliot: position in the tree of actions.
    """

    clock: int
    instance: str
    sequence: int
    time: float
    kind: str
    subject: str
    detail: str
    task: str
    level: tuple


@dataclasses.dataclass(frozen=True, slots=True)
class Arrow:
    """A causal link from one process to another.

    Attributes
    ----------
    start, end : int
        Indices of the sending and the receiving event.
    """

    start: int
    end: int


@dataclasses.dataclass(frozen=True, slots=True)
class Timeline:
    """The merged events of several logs.

    Attributes
    ----------
    events : tuple of Event
        In causal order: by Lamport clock, then instance, then
        sequence.
    skipped : int
        Number of lines that could not be parsed.
    """

    events: tuple
    skipped: int


def read_timeline(paths, only=''):
    """Merge log files into one timeline.

    Parameters
    ----------
    paths : iterable of str
    only : str
        Keep only events whose instance, kind, subject or detail
        contains this text.

    Returns
    -------
    Timeline

    Raises
    ------
    OSError
        If a file cannot be read.

    Notes
    -----
    All events are held in memory; takes O(n log n) time for n events.
    """
    events = []
    skipped = 0
    for path in paths:
        with open(path, encoding='utf-8', errors='replace') as file:
            for line in file:
                event = parse_event(line)
                if event is None:
                    # A killed process may leave a truncated last line.
                    skipped += 1
                elif _contains_text(event, only):
                    events.append(event)
    events.sort(key=lambda item: (item.clock, item.instance, item.sequence))
    return Timeline(tuple(events), skipped)


def parse_event(line):
    """Parse a log line; return None if it is not an event.

    Examples
    --------
    >>> parse_event('{"clock": 1') is None
    True
    """
    try:
        fields = json.loads(line)
        return Event(
            clock=int(fields['clock']),
            instance=_replace_unprintable(fields['instance']),
            sequence=int(fields['sequence']),
            time=float(fields['timestamp']),
            kind=_replace_unprintable(_describe_kind(fields)),
            subject=_replace_unprintable(fields.get('subject', '')),
            detail=_replace_unprintable(_describe_detail(fields)),
            task=_replace_unprintable(fields['task_uuid']),
            level=tuple(int(n) for n in fields['task_level']),
        )
    except (KeyError, TypeError, ValueError):
        return None


def _replace_unprintable(value):
    """Replace characters invalid in XML or terminals, and line breaks."""
    return ''.join(
        char if char.isprintable() else '\ufffd' for char in str(value)
    )


def _describe_kind(fields):
    if 'action_type' in fields:
        return f'{fields["action_type"]} {fields["action_status"]}'
    return str(fields['message_type'])


def _describe_detail(fields):
    parts = [str(fields.get('detail', ''))]
    for name, value in fields.items():
        if name not in COMMON_FIELDS:
            parts.append(f'{name}={value}')
    return ' '.join(part for part in parts if part)


def _contains_text(event, text):
    searched = (event.instance, event.kind, event.subject, event.detail)
    return any(text in value for value in searched)


def find_arrows(events):
    """Return the links where an action continues in another process.

    When a task is serialized, eliot reserves a task level in the sender.
    The first event of the continued action has that level with 1
    appended. The arrow starts at the sender's last event before the
    reserved level.

    Parameters
    ----------
    events : sequence of Event
        In causal order.

    Returns
    -------
    list of Arrow
    """
    arrows = []
    siblings = {}
    for index, event in enumerate(events):
        start = _find_sending_event(siblings, event)
        if start is not None:
            if events[start].instance != event.instance:
                arrows.append(Arrow(start, index))
        parent = event.task, event.level[:-1]
        siblings.setdefault(parent, []).append((event.level[-1], index))
    return arrows


def _find_sending_event(siblings, event):
    """Return the index of the last event before the reserved level.

    Returns None if the event does not start a continued action.
    """
    if len(event.level) < 2 or event.level[-1] != 1:
        return None
    reserved = event.level[-2]
    parent = event.task, event.level[:-2]
    for number, index in reversed(siblings.get(parent, ())):
        if number < reserved:
            return index
    return None
