"""The planned stop of this instance."""

from sniperudder import effects
from sniperudder import inputs


def stop_instance(T, inp, now):
    """Take no new work from now on; handles ``StopRequested``."""
    T.stopping = True
    return [effects.Note('instance:drain', T.me)]


HANDLERS = {inputs.StopRequested: stop_instance}
PURPOSES = {}
