"""Threads that take what has gathered in a queue, all at once."""

import queue
import threading


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


def start_thread(function, name):
    """Run a function in a thread that does not keep the process."""
    thread = threading.Thread(target=function, name=name, daemon=True)
    thread.start()
