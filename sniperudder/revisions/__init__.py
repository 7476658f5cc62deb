"""Revisions: the order of the states of a store that may be restored."""

from sniperudder.revisions._revisions import Revision
from sniperudder.revisions._revisions import UNKNOWN

__all__ = ['Revision', 'UNKNOWN']
