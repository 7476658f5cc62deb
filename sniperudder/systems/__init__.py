"""The systems of the decision core.

Each subject is a package of functions over the tables. A handler takes
the tables, one input and the time, and returns a list of effects. A
package offers

``HANDLERS``
    dict from the class of an input to its handler;
``PURPOSES``
    dict from the class of a platform call's purpose to the handler of
    its ``TransactReturned`` or ``ScanReturned``;
``run_...(T, now)``
    what is due at a tick.

No system reads a clock, starts a thread or does input or output.
"""
