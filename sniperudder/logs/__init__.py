"""Event logs (written with eliot), and reading and rendering them."""

from sniperudder.logs._events import read_timeline
from sniperudder.logs._events import Timeline
from sniperudder.logs._log import close_log
from sniperudder.logs._log import create_log
from sniperudder.logs._log import Log
from sniperudder.logs._log import write_event
from sniperudder.logs._stories import read_story
from sniperudder.logs._stories import render_story
from sniperudder.logs._tasks import continue_task
from sniperudder.logs._tasks import serialize_task
from sniperudder.logs._tasks import TASK_HEADER
from sniperudder.logs._timeline import render_svg
from sniperudder.logs._timeline import render_text

__all__ = [
    'Log',
    'TASK_HEADER',
    'Timeline',
    'close_log',
    'continue_task',
    'create_log',
    'read_story',
    'read_timeline',
    'render_story',
    'render_svg',
    'render_text',
    'serialize_task',
    'write_event',
]
