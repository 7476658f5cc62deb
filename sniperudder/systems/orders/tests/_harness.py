"""Test harness for the order system of one instance."""

from sniperudder import effects
from sniperudder import inputs
from sniperudder.systems import orders
from sniperudder import tables
from sniperudder.testing import _rowstore

SERVICE = 'compressors'
ADDRESS = 'worker-1:80'
BODY = '{"compressors":1}'


class Harness:
    """Tables of one instance, and a row store that harnesses may share.

    Attributes
    ----------
    T : Tables
    store : RowStore
    now : float
        Seconds.
    effects : list of effect
        All effects returned so far.
    """

    def __init__(self, store=None, me='entry-1', **options):
        self.T = tables.create_tables(me, 'houston')
        self.T.services[SERVICE] = tables.Service(
            SERVICE, [ADDRESS], **options
        )
        self.store = store or _rowstore.RowStore()
        self.now = 1000.0
        self.T.confirmed_at = self.now
        self.effects = []

    def submit(self, order='order-1', **changes):
        """Submit an order; return the new effects."""
        fields = {
            'order': order,
            'organisation': 'north',
            'rank': tables.Rank.MIDDLE,
            'service': SERVICE,
            'key': 'key-1',
            'body': BODY,
            'deadline_s': 20.0,
        }
        return self.deliver(inputs.OrderArrived(**{**fields, **changes}))

    def deliver(self, inp):
        """Handle an input; return the new effects."""
        if isinstance(inp, inputs.TransactReturned):
            handler = orders.PURPOSES[type(inp.purpose)]
        else:
            handler = orders.HANDLERS[type(inp)]
        return self._record(handler(self.T, inp, self.now))

    def advance(self, duration_s, fresh=True):
        """Advance the clock and run a tick; return the new effects."""
        self.now += duration_s
        if fresh:
            self.T.confirmed_at = self.now
        return self._record(orders.run_orders(self.T, self.now))

    def commit(self):
        """Run the last transaction and return its outcome to the system."""
        call = self.find_last(effects.Transact)
        return self.return_outcome(self.store.transact(call))

    def commit_without_reply(self):
        """Run the last transaction, but report its outcome as unknown."""
        self.store.transact(self.find_last(effects.Transact))
        return self.return_outcome(inputs.Unknown())

    def return_outcome(self, outcome):
        """Return an outcome for the last transaction without running it."""
        call = self.find_last(effects.Transact)
        return self.deliver(
            inputs.TransactReturned(call.purpose, outcome, self.now)
        )

    def answer_call(self, body='receipt', order='order-1', status=200):
        """Return a complete result of a call."""
        return self.deliver(
            inputs.ServiceReturned(order, status, body, None, ADDRESS)
        )

    def fail_call(self, delivery, order='order-1'):
        """Return a failed delivery of a call."""
        return self.deliver(
            inputs.ServiceReturned(order, 0, '', delivery, ADDRESS)
        )

    def answer_lookup(self, **answer):
        """Reply to the last lookup."""
        call = self.find_last(effects.LookUpKey)
        return self.deliver(
            inputs.KeyLookupReturned(
                call.order, True, lookup_number=call.lookup_number, **answer
            )
        )

    def find_last(self, effect_type):
        """Return the last effect of a type."""
        return [e for e in self.effects if isinstance(e, effect_type)][-1]

    def count(self, effect_type):
        """Return the number of effects of a type so far."""
        return len([e for e in self.effects if isinstance(e, effect_type)])

    def _record(self, new):
        self.effects += new
        return new


def list_codes(results):
    """Return the codes of the outcomes among some effects."""
    return [
        e.outcome.code for e in results if isinstance(e, effects.SendOutcome)
    ]
