"""Order of the states of a store that may be restored from a copy.

A store numbers its states. After a restoration, the numbers go back and are
given out again, so that they order states within one era only. The era rises
with each restoration.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, order=True, slots=True)
class Revision:
    """State of a store; a state of a later era is always later.

    Comparing a revision with a plain number raises TypeError.

    Attributes
    ----------
    era : int
        0 if the store does not state it.
    version : int
        Number of the state within the era; 0 stands for a row that does not
        exist.

    Examples
    --------
    >>> Revision(1, 99) < Revision(2, 92) < Revision(2, 93)
    True
    >>> str(Revision(2, 92))
    '2/92'
    """

    era: int
    version: int

    def __str__(self):
        return f'{self.era}/{self.version}'


UNKNOWN = Revision(0, 0)
"""Revision before all others."""
