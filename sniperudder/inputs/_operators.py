"""Wishes of the operator of this process."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class StopRequested:
    """This instance shall stop once its work is done."""
