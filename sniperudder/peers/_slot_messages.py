"""Conversion of slot messages to and from thrift structures."""

from sniperudder import messages
from sniperudder import outcomes
from sniperudder.peers.gen.wire import ttypes
from sniperudder import tables


def encode_message(message):
    """Return a message as a thrift structure.

    Parameters
    ----------
    message : record of sniperudder.messages

    Returns
    -------
    sniperudder.peers.gen.wire.ttypes.Post
    """
    return _ENCODERS[type(message)](message)


def decode_message(post):
    """Return the message of a thrift structure; None if its type is unknown.

    Examples
    --------
    >>> message = messages.RevokeSlot('r1', 2)
    >>> decode_message(encode_message(message)) == message
    True
    """
    for field, decode in _DECODERS.items():
        part = getattr(post, field)
        if part is not None:
            return decode(part)
    return None


def _encode_ask(ask):
    wire = ttypes.AskSlot(
        request=ask.request,
        attempt=ask.attempt,
        organisation=ask.organisation,
        rank=int(ask.rank),
        model=ask.model,
        work=ask.work,
        fingerprint=ask.fingerprint,
        max_wait_s=ask.max_wait_s,
        again=ask.again,
        yields=ask.yields,
        crashes=list(ask.crashes),
        settle_s=ask.settle_s,
    )
    return ttypes.Post(ask=wire)


def _decode_ask(wire):
    return messages.AskSlot(
        request=wire.request,
        attempt=wire.attempt,
        organisation=wire.organisation,
        rank=tables.Rank(wire.rank),
        model=wire.model,
        work=wire.work,
        fingerprint=wire.fingerprint,
        max_wait_s=wire.max_wait_s,
        again=wire.again,
        yields=wire.yields,
        crashes=tuple(wire.crashes),
        settle_s=wire.settle_s,
    )


def _encode_grant(grant):
    wire = ttypes.GrantSlot(
        grant.request,
        grant.attempt,
        _encode_chain(grant.chain),
        grant.version,
        list(grant.boots),
    )
    return ttypes.Post(grant=wire)


def _decode_grant(wire):
    chain = _decode_chain(wire.chain)
    return messages.GrantSlot(
        wire.request, wire.attempt, chain, wire.version, tuple(wire.boots)
    )


def _encode_denial(denial):
    wire = ttypes.DenySlot(
        denial.request,
        denial.attempt,
        int(denial.code),
        denial.retry_after_s,
    )
    return ttypes.Post(denial=wire)


def _decode_denial(wire):
    code = outcomes.Code(wire.code)
    return messages.DenySlot(
        wire.request, wire.attempt, code, wire.retry_after_s
    )


def _encode_revocation(revocation):
    wire = ttypes.RevokeSlot(revocation.request, revocation.attempt)
    return ttypes.Post(revocation=wire)


def _decode_revocation(wire):
    return messages.RevokeSlot(wire.request, wire.attempt)


def _encode_release(release):
    samples = [
        ttypes.Sample(
            sample.endpoint,
            sample.step_s,
            sample.failed,
            sample.crashed,
            sample.boot,
        )
        for sample in release.samples
    ]
    wire = ttypes.ReleaseSlot(
        release.request, release.attempt, release.used, samples
    )
    return ttypes.Post(release=wire)


def _decode_release(wire):
    samples = tuple(
        messages.Sample(
            sample.endpoint,
            sample.step_s,
            sample.failed,
            sample.crashed,
            sample.boot,
        )
        for sample in wire.samples
    )
    return messages.ReleaseSlot(wire.request, wire.attempt, wire.used, samples)


def _encode_holdings(hold_message):
    holdings = [
        ttypes.Holding(
            holding.request,
            holding.attempt,
            holding.organisation,
            int(holding.rank),
            holding.model,
            _encode_chain(holding.chain),
        )
        for holding in hold_message.holdings
    ]
    wire = ttypes.HoldSlots(holdings, list(hold_message.asked))
    return ttypes.Post(holdings=wire)


def _decode_holdings(wire):
    holdings = tuple(
        messages.Holding(
            holding.request,
            holding.attempt,
            holding.organisation,
            tables.Rank(holding.rank),
            holding.model,
            _decode_chain(holding.chain),
        )
        for holding in wire.holdings
    )
    return messages.HoldSlots(holdings, tuple(wire.asked))


def _encode_forgotten(forgotten):
    wire = ttypes.ForgotSlots(list(forgotten.requests))
    return ttypes.Post(forgotten=wire)


def _decode_forgotten(wire):
    return messages.ForgotSlots(tuple(wire.requests))


def _encode_chain(chain):
    return [
        ttypes.Stage(stage.endpoint, stage.first_layer, stage.end_layer)
        for stage in chain
    ]


def _decode_chain(chain):
    return tuple(
        tables.Stage(stage.endpoint, stage.first_layer, stage.end_layer)
        for stage in chain
    )


_ENCODERS = {
    messages.AskSlot: _encode_ask,
    messages.DenySlot: _encode_denial,
    messages.ForgotSlots: _encode_forgotten,
    messages.GrantSlot: _encode_grant,
    messages.HoldSlots: _encode_holdings,
    messages.ReleaseSlot: _encode_release,
    messages.RevokeSlot: _encode_revocation,
}

_DECODERS = {
    'ask': _decode_ask,
    'grant': _decode_grant,
    'denial': _decode_denial,
    'revocation': _decode_revocation,
    'release': _decode_release,
    'holdings': _decode_holdings,
    'forgotten': _decode_forgotten,
}
