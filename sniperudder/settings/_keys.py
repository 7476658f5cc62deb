"""Finding out whose key was presented."""

import hashlib
import hmac


def find_key(settings, presented):
    """Return the caller's key that was presented.

    Takes the same time whichever key it is, or if it is none.

    Parameters
    ----------
    settings : Settings
    presented : str

    Returns
    -------
    Key or None
    """
    return _find_digest(settings.keys, presented)


def find_operator(settings, presented):
    """Return the operator whose key was presented.

    Parameters
    ----------
    settings : Settings
    presented : str

    Returns
    -------
    Operator or None
    """
    return _find_digest(settings.operators, presented)


def _find_digest(records, presented):
    digest = hashlib.sha256(presented.encode('utf-8', 'replace')).digest()
    found = None
    for record in records.values():
        if hmac.compare_digest(record.digest, digest):
            found = record
    return found
