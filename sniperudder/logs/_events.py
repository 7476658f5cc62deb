"""Reading the logs of all processes into one causal order."""

import dataclasses
import json

# Fields that every line has; the others are shown as detail.
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
    """One line of a log.

    Attributes
    ----------
    clock : int
        Lamport clock.
    instance : str
    sequence : int
    time : float
        Wall time, seconds since 1970.
    kind, subject, detail : str
    task : str
        Identifier of eliot's task.
    level : tuple of int
        Place in the task.
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
    """An action that went from one process to another.

    Attributes
    ----------
    start, end : int
        Indices of two events.
    """

    start: int
    end: int


@dataclasses.dataclass(frozen=True, slots=True)
class Timeline:
    """Events of all processes.

    Attributes
    ----------
    events : tuple of Event
        In causal order: by Lamport clock, then instance.
    skipped : int
        Lines that could not be read.
    """

    events: tuple
    skipped: int


def read_timeline(paths, only=''):
    """Merge logs.

    Parameters
    ----------
    paths : iterable of str
    only : str
        Keep events whose instance, kind, subject or detail holds this
        text.

    Returns
    -------
    Timeline

    Raises
    ------
    OSError
        If a file cannot be read.

    Notes
    -----
    All events are held in memory; time grows as n log n.
    """
    events = []
    skipped = 0
    for path in paths:
        with open(path, encoding='utf-8', errors='replace') as file:
            for line in file:
                event = parse_event(line)
                if event is None:
                    # A process that was killed may leave half a line.
                    skipped += 1
                elif _has_text(event, only):
                    events.append(event)
    events.sort(key=lambda item: (item.clock, item.instance, item.sequence))
    return Timeline(tuple(events), skipped)


def parse_event(line):
    """Return the event of a line; None where it is no event.

    Examples
    --------
    >>> parse_event('{"clock": 1') is None
    True
    """
    try:
        fields = json.loads(line)
        return Event(
            clock=int(fields['clock']),
            instance=_clean_text(fields['instance']),
            sequence=int(fields['sequence']),
            time=float(fields['timestamp']),
            kind=_clean_text(_describe_kind(fields)),
            subject=_clean_text(fields.get('subject', '')),
            detail=_clean_text(_describe_detail(fields)),
            task=_clean_text(fields['task_uuid']),
            level=tuple(int(n) for n in fields['task_level']),
        )
    except (KeyError, TypeError, ValueError):
        return None


def _clean_text(value):
    """Replace what XML and terminals cannot take, line breaks too."""
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


def _has_text(event, text):
    places = (event.instance, event.kind, event.subject, event.detail)
    return any(text in place for place in places)


def find_arrows(events):
    """Return where an action continues in another process.

    The first event of a continued action has the level of the place
    that its sender reserved, with 1 appended. The arrow comes from the
    sender's latest event before that place.

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
        start = _find_sender(siblings, event)
        if start is not None:
            if events[start].instance != event.instance:
                arrows.append(Arrow(start, index))
        place = event.task, event.level[:-1]
        siblings.setdefault(place, []).append((event.level[-1], index))
    return arrows


def _find_sender(siblings, event):
    """Return the index of the latest event before the reserved place.

    None where the event does not start a continued action.
    """
    if len(event.level) < 2 or event.level[-1] != 1:
        return None
    reserved = event.level[-2]
    place = event.task, event.level[:-2]
    for number, index in reversed(siblings.get(place, ())):
        if number < reserved:
            return index
    return None
