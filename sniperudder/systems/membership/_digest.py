"""What an instance knows of each member, in two bytes a member.

The members stand in the order of a roster that both sides know by its
version. First byte: age of the evidence in tenths of a second, rounded
up, 63 where it is older or there is none; bit 6 tells whether it was
rooted, bit 7 whether it is stopping. Second byte: how far its version
lies below the digest's, 255 where that is more or unknown.
"""

import dataclasses
import math

_STEP_S = 0.1
_NO_AGE = 63
_ROOTED = 64
_STOPPING = 128
_NO_VERSION = 255


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
    """

    name: str
    age_s: float
    version: int
    rooted: bool
    stopping: bool


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
    '3fff4302'
    """
    data = bytearray()
    for entry in entries:
        data += _encode_entry(entry, version)
    return bytes(data)


def _encode_entry(entry, version):
    if entry is None or entry.age_s > (_NO_AGE - 1) * _STEP_S:
        return bytes((_NO_AGE, _NO_VERSION))
    first = math.ceil(entry.age_s / _STEP_S)
    first |= _ROOTED * entry.rooted | _STOPPING * entry.stopping
    return bytes((first, min(version - entry.version, _NO_VERSION)))


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
    >>> data = bytes.fromhex('3fff4302')
    >>> [e.version for e in decode_digest(['a', 'b'], data, 9)]
    [7]
    """
    for index, name in enumerate(names):
        first = data[2 * index]
        lag = data[2 * index + 1]
        steps = first & _NO_AGE
        if steps == _NO_AGE or lag == _NO_VERSION:
            continue
        yield Evidence(
            name=name,
            age_s=steps * _STEP_S,
            version=version - lag,
            rooted=bool(first & _ROOTED),
            stopping=bool(first & _STOPPING),
        )
