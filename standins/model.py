"""Deterministic model whose tokens do not depend on the layer split."""

import hashlib

__all__ = ['digest_text', 'encode', 'generate', 'make_token', 'run_layers']


def encode(text):
    """Encode a text, lone surrogates included, which JSON may contain."""
    return text.encode('utf-8', 'surrogatepass')


def digest_text(text):
    """Return the input of the first layer for the whole text so far."""
    return hashlib.sha256(encode(text)).hexdigest()


def run_layers(hidden, first, end, version):
    """Run the layers ``[first, end)`` on the previous layers' output.

    Examples
    --------
    >>> whole = run_layers('x', 0, 6, '1')
    >>> whole == run_layers(run_layers('x', 0, 4, '1'), 4, 6, '1')
    True
    """
    for layer in range(first, end):
        text = f'{version}/{layer}/{hidden}'
        hidden = hashlib.sha256(encode(text)).hexdigest()
    return hidden


def make_token(hidden, end_every=0):
    """Return the token of the last layer's output, and whether it is final.

    Parameters
    ----------
    hidden : str
    end_every : int
        One token in ``end_every``, on average, is final; 0 means none.

    Examples
    --------
    >>> make_token(digest_text('linen'))
    (' w890', False)
    """
    number = int(hidden, 16)
    finished = end_every > 0 and number // 1000 % end_every == 0
    return f' w{number % 1000}', finished


def generate(prompt, layers, version, count, end_every=0):
    """Return the tokens of an answer.

    Each token depends on the prompt and all earlier tokens, so that an
    answer can be continued from the prompt with a prefix of its tokens.

    Parameters
    ----------
    prompt : str
    layers : int
        Number of layers of the model.
    version : str
    count : int
        Maximum number of tokens.
    end_every : int
        As for ``make_token``.

    Examples
    --------
    >>> four = generate('wool', 6, '1', 4)
    >>> four[2:] == generate('wool' + ''.join(four[:2]), 6, '1', 2)
    True
    """
    tokens = []
    while len(tokens) < count:
        hidden = digest_text(prompt + ''.join(tokens))
        hidden = run_layers(hidden, 0, layers, version)
        token, finished = make_token(hidden, end_every)
        tokens.append(token)
        if finished:
            break
    return tokens
