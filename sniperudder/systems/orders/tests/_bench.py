"""One instance's order system, driven by hand."""

from sniperudder import effects
from sniperudder import inputs
from sniperudder.systems import orders
from sniperudder import tables
from sniperudder.testing import _rowstore

SERVICE = 'compressors'
ADDRESS = 'worker-1:80'
BODY = '{"compressors":1}'


class Bench:
    """Tables of one instance and a row store that several may share.

    Attributes
    ----------
    T : Tables
    store : RowStore
    now : float
        Seconds.
    effects : list of effect
        All that the system asked for so far.
    """

    def __init__(self, store=None, me='entry-1', **kind):
        self.T = tables.create_tables(me, 'houston')
        self.T.services[SERVICE] = tables.Service(SERVICE, [ADDRESS], **kind)
        self.store = store or _rowstore.RowStore()
        self.now = 1000.0
        self.T.confirmed_at = self.now
        self.effects = []

    def send(self, order='order-1', **changes):
        """Let an order arrive; return the new effects."""
        fields = {
            'order': order,
            'organisation': 'north',
            'rank': tables.Rank.MIDDLE,
            'service': SERVICE,
            'key': 'key-1',
            'body': BODY,
            'deadline_s': 20.0,
        }
        return self.give(inputs.OrderArrived(**{**fields, **changes}))

    def give(self, inp):
        """Give the system an input; return the new effects."""
        if isinstance(inp, inputs.TransactReturned):
            handler = orders.PURPOSES[type(inp.purpose)]
        else:
            handler = orders.HANDLERS[type(inp)]
        return self._note(handler(self.T, inp, self.now))

    def pass_time(self, duration_s, fresh=True):
        """Let time pass and run a tick; return the new effects."""
        self.now += duration_s
        if fresh:
            self.T.confirmed_at = self.now
        return self._note(orders.run_orders(self.T, self.now))

    def commit(self):
        """Run the last transaction and give back its answer."""
        call = self.find(effects.Transact)
        return self.give_outcome(self.store.transact(call))

    def commit_unheard(self):
        """Run the last transaction and lose its answer."""
        self.store.transact(self.find(effects.Transact))
        return self.give_outcome(inputs.Unknown())

    def give_outcome(self, outcome):
        """Answer the last transaction."""
        call = self.find(effects.Transact)
        return self.give(
            inputs.TransactReturned(call.purpose, outcome, self.now)
        )

    def answer_call(self, body='receipt', order='order-1', status=200):
        """Let the service give a whole answer."""
        return self.give(
            inputs.ServiceReturned(order, status, body, None, ADDRESS)
        )

    def fail_call(self, delivery, order='order-1'):
        """Let a call end without an answer."""
        return self.give(
            inputs.ServiceReturned(order, 0, '', delivery, ADDRESS)
        )

    def tell(self, **answer):
        """Answer the last question."""
        call = self.find(effects.AskService)
        return self.give(
            inputs.ServiceTold(
                call.order, True, question=call.question, **answer
            )
        )

    def find(self, kind):
        """Return the last effect of a kind."""
        return [e for e in self.effects if isinstance(e, kind)][-1]

    def count(self, kind):
        """Return the number of effects of a kind so far."""
        return len([e for e in self.effects if isinstance(e, kind)])

    def _note(self, new):
        self.effects += new
        return new


def list_codes(results):
    """Return the codes of the outcomes among some effects."""
    return [e.outcome.code for e in results if isinstance(e, effects.Finish)]
