"""Work that was refused, failed or is in doubt."""

import dataclasses

from sniperudder.tables import _ranks


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Work that ended without a whole answer, and why.

    Attributes
    ----------
    name : str
        Identifier of the request or order.
    organisation : str
    rank : Rank
    target : str
        Name of the model or service.
    code : int
        Result code, see ``sniperudder.outcomes.Code``.
    detail : str
    at : float
        Seconds on the instance's clock.
    """

    name: str
    organisation: str
    rank: _ranks.Rank
    target: str
    code: int
    detail: str
    at: float
