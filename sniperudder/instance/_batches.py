"""Threads that take what has gathered in a queue, all at once."""

import queue
import threading

import eliot


def take_all(pending, limit):
    """Wait for an item; return it with those that wait behind it.

    Parameters
    ----------
    pending : queue.SimpleQueue
    limit : int
        Largest number of items.
    """
    items = [pending.get()]
    while len(items) < limit:
        try:
            items.append(pending.get_nowait())
        except queue.Empty:
            break
    return items


def run_logged(function, *args):
    """Call a function; log what it raises and go on.

    For work that nobody waits for: an unforeseen fault in one piece of
    it must neither pass unseen nor end the thread that does the rest.
    """
    try:
        function(*args)
    except Exception:
        eliot.write_traceback()


def start_thread(function, name):
    """Run a function in a thread that does not keep the process."""
    thread = threading.Thread(target=function, name=name, daemon=True)
    thread.start()
