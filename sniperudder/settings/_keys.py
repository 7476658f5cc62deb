"""Looking up callers and operators by the key they present."""

import hashlib
import hmac


def find_key(settings, presented):
    """Return the record of the caller key that was presented.

    All digests are compared in constant time, so that the duration does
    not reveal which key matched, or whether any did.

    Parameters
    ----------
    settings : Settings
    presented : str
        Key as sent by the caller.

    Returns
    -------
    Key or None
        None if the key is unknown.
    """
    return _find_digest(settings.keys, presented)


def find_operator(settings, presented):
    """Return the operator whose key was presented.

    Parameters
    ----------
    settings : Settings
    presented : str
        Key as sent by the operator.

    Returns
    -------
    Operator or None
        None if the key is unknown.
    """
    return _find_digest(settings.operators, presented)


def _find_digest(records, presented):
    digest = hashlib.sha256(presented.encode('utf-8', 'replace')).digest()
    found = None
    for record in records.values():
        if hmac.compare_digest(record.digest, digest):
            found = record
    return found
