"""A language model whose answer any split into layers reproduces."""

import hashlib

__all__ = ['digest_text', 'encode', 'generate', 'make_token', 'run_layers']


def encode(text):
    """Return a text as bytes; JSON may carry half of a surrogate pair."""
    return text.encode('utf-8', 'surrogatepass')


def digest_text(text):
    """Return the input of the first layer for the whole text so far."""
    return hashlib.sha256(encode(text)).hexdigest()


def run_layers(hidden, first, end, version):
    """Run the layers ``[first, end)`` on the output of those before.

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
    """Return the token of a last layer's output, and whether it ends.

    Parameters
    ----------
    hidden : str
    end_every : int
        One token in so many ends the answer; 0 means none.

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

    Each depends on the prompt and all tokens before it, so that the
    tokens after a prefix are those of the prompt with that prefix.

    Parameters
    ----------
    prompt : str
    layers : int
        Number of layers of the model.
    version : str
    count : int
        Largest number of tokens.
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
