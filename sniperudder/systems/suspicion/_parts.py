"""Tracking of parts of prompts that may crash endpoints.

A text that many prompts share may crash each endpoint that runs one of them,
although no two prompts are alike. The parts of a prompt are a sample of its
words. Since each instance draws the same sample of a word, a shared text of
some length has parts in each sample.

The parts of all requests in flight at a possible crash are suspect. A request
that completes clears its parts. If several parts were in flight at the same
crashes, any of them may be the cause, and only prompts that hold all of them
are condemned.
"""

import hashlib

from sniperudder.systems.suspicion import _suspicion
from sniperudder import tables

_PREFIX = 'part:'
_MAX_PARTS = 16
_KEY_BYTES = 8

# A part is in flight with others, so that more crashes are needed than for the
# whole content of a request.
_CRASH_THRESHOLD = 5

_MAX_SUSPICIONS = 5_000


def make_part_keys(model, prompt):
    """Return the keys of a sample of the words of a prompt.

    Parameters
    ----------
    model, prompt : str

    Returns
    -------
    frozenset of str

    Notes
    -----
    O(n) in the length of the prompt.

    Examples
    --------
    >>> first = make_part_keys('m', 'say this one')
    >>> second = make_part_keys('m', 'say this two')
    >>> len(first), len(first & second)
    (3, 2)
    """
    hashes = {_hash(model, word) for word in set(prompt.split())}
    return frozenset(_PREFIX + key for key in sorted(hashes)[:_MAX_PARTS])


def _hash(model, word):
    text = f'{model}\0{word}'.encode(errors='surrogatepass')
    return hashlib.blake2b(text, digest_size=_KEY_BYTES).hexdigest()


def is_part_key(key):
    """Return whether a key of a suspicion names a part of prompts."""
    return key.startswith(_PREFIX)


def record_part_crash(T, keys, crash_id, now, settle_s=0.0):
    """Record that parts were in flight at a possible crash.

    Parameters
    ----------
    T : Tables
    keys : iterable of str
    crash_id, now, settle_s
        See ``record_crash``.
    """
    for key in keys:
        record = T.part_suspicions.get(key)
        if record is None:
            record = T.part_suspicions[key] = tables.Suspicion(key)
        record.settled_at = max(record.settled_at, now + settle_s)
        if crash_id not in record.crashes:
            record.crashes = record.crashes | {crash_id}
            record.updated_at = now
    while len(T.part_suspicions) > _MAX_SUSPICIONS:
        least = min(
            T.part_suspicions.values(),
            key=lambda record: (len(record.crashes), record.updated_at),
        )
        del T.part_suspicions[least.fingerprint]


def clear_parts(T, keys, now):
    """Clear the parts of a request that has completed, unless condemned."""
    if not has_condemned_parts(T, keys, now):
        for key in keys:
            T.part_suspicions.pop(key, None)


def has_condemned_parts(T, keys, now):
    """Return whether parts of a prompt caused enough confirmed crashes.

    Parameters
    ----------
    T : Tables
    keys : frozenset of str
        Keys of the parts of the prompt.
    now : float
        Seconds.
    """
    return any(
        _suspicion.count_confirmed(T, record, now) >= _CRASH_THRESHOLD
        for record in _list_causes(T, keys)
    )


def has_unconfirmed_parts(T, keys, now):
    """Return whether crashes that would condemn parts await confirmation."""
    causes = _list_causes(T, keys)
    return bool(causes) and not has_condemned_parts(T, keys, now)


def _list_causes(T, keys):
    """Return the records of parts that explain enough possible crashes.

    Left out are those for which a part that the prompt does not hold is as
    good an explanation.
    """
    records = [
        T.part_suspicions[key] for key in keys & T.part_suspicions.keys()
    ]
    return [
        record
        for record in records
        if len(record.crashes) >= _CRASH_THRESHOLD
        and all(
            other.fingerprint in keys
            for other in T.part_suspicions.values()
            if other.crashes >= record.crashes
        )
    ]
