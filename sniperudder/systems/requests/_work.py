"""Cost of work, counted in tokens."""

# Engines read a prompt many tokens at a time, so that one costs a
# fraction of a generated token.
_PROMPT_SHARE = 0.05
_CHARACTERS_PER_TOKEN = 4


def estimate_work(prompt, max_tokens):
    """Return the expected work of a request, in generated tokens.

    Examples
    --------
    >>> estimate_work('x' * 400, 10)
    15.0
    """
    return _cost_prompt(prompt) + max_tokens


def measure_work(req):
    """Return the work that a request has used so far, in tokens."""
    return _cost_prompt(req.prompt) + len(req.tokens)


def _cost_prompt(prompt):
    return len(prompt) / _CHARACTERS_PER_TOKEN * _PROMPT_SHARE
