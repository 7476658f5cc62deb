"""Helpers for worker threads that process a queue in batches."""

import queue
import threading

import eliot


def take_batch(pending, limit):
    """Wait for an item; return it with the items queued behind it.

    Parameters
    ----------
    pending : queue.SimpleQueue
    limit : int
        Maximum number of items.

    Returns
    -------
    list
    """
    items = [pending.get()]
    while len(items) < limit:
        try:
            items.append(pending.get_nowait())
        except queue.Empty:
            break
    return items


def run_logged(function, *args):
    """Call a function and log any exception instead of raising it.

    Used for work whose result no thread awaits: an unexpected exception
    in one task must be logged and must not terminate the worker thread.
    """
    try:
        function(*args)
    except Exception:
        eliot.write_traceback()


def start_thread(function, name):
    """Run a function in a daemon thread."""
    thread = threading.Thread(target=function, name=name, daemon=True)
    thread.start()
