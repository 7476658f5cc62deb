"""Entry instance: connects the decision core to networks and threads."""

from sniperudder.instance._assembly import create_instance
from sniperudder.instance._assembly import run_instance
from sniperudder.instance._runtime import create_runtime
from sniperudder.instance._runtime import Runtime

__all__ = ['Runtime', 'create_instance', 'create_runtime', 'run_instance']
