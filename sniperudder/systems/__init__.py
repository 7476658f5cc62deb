"""The systems of the decision core.

A system is a module or package of functions that read and change the tables. A
handler takes the tables, one input and the current time, and returns a
list of effects. It may export

``HANDLERS``
    dict from the class of an input to its handler;
``PURPOSES``
    dict from the class of a platform call's purpose to the handler of
    its ``TransactReturned`` or ``ScanReturned``;
``run_...(T, now)``
    function that does the periodic work due at a tick.

No system reads a clock, starts a thread or does any I/O.
"""
