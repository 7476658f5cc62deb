"""What an instance knows of each member, in one byte a member.

The members stand in the order of a roster that both sides know by its
version. Bits 0 to 3: age of the evidence in steps of 0.15 s, rounded
up, 15 where it is older or there is none. Bit 4: whether it was rooted.
Bit 5: whether it is stopping. Bits 6 and 7: how far its version lies
below the digest's, 3 where that is three or more.
"""

import dataclasses
import math

_STEP_S = 0.15
_NO_AGE = 15
_ROOTED = 16
_STOPPING = 32
_LAG_SHIFT = 6
_LONG_LAG = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """What a member showed at a time.

    Attributes
    ----------
    name : str
    age_s : float
        Largest possible age, seconds before the digest was made.
    version : int
    rooted, stopping : bool
    exact : bool
        Whether the version is the member's and not only an upper bound.
    """

    name: str
    age_s: float
    version: int
    rooted: bool
    stopping: bool
    exact: bool = True


def encode_digest(entries, version):
    """Return a digest.

    Parameters
    ----------
    entries : iterable of Evidence or None
        One for each member, in the roster's order.
    version : int
        At least that of each entry.

    Returns
    -------
    bytes

    Examples
    --------
    >>> encode_digest([None, Evidence('b', 0.25, 7, True, False)], 9).hex()
    '0f92'
    """
    return bytes(_encode_entry(entry, version) for entry in entries)


def _encode_entry(entry, version):
    if entry is None or entry.age_s > (_NO_AGE - 1) * _STEP_S:
        return _NO_AGE
    value = math.ceil(entry.age_s / _STEP_S)
    value |= _ROOTED * entry.rooted | _STOPPING * entry.stopping
    return value | min(version - entry.version, _LONG_LAG) << _LAG_SHIFT


def decode_digest(names, data, version):
    """Yield the evidence of a digest, unknown members left out.

    Parameters
    ----------
    names : sequence of str
        The roster.
    data : bytes
    version : int

    Examples
    --------
    >>> data = bytes.fromhex('0f92')
    >>> [e.version for e in decode_digest(['a', 'b'], data, 9)]
    [7]
    """
    for name, value in zip(names, data):
        steps = value & _NO_AGE
        if steps == _NO_AGE:
            continue
        lag = value >> _LAG_SHIFT
        yield Evidence(
            name=name,
            age_s=steps * _STEP_S,
            version=version - lag,
            rooted=bool(value & _ROOTED),
            stopping=bool(value & _STOPPING),
            exact=lag < _LONG_LAG,
        )
