"""Cost of requests, in equivalents of a generated token."""

# Cost of a prompt token relative to a generated one. Engines process many
# prompt tokens per iteration.
_PROMPT_TOKEN_COST = 0.05
_CHARACTERS_PER_TOKEN = 4


def estimate_work(prompt, max_tokens):
    """Return the estimated work of a request, in generated tokens.

    Examples
    --------
    >>> estimate_work('x' * 400, 10)
    15.0
    """
    return _estimate_prompt_work(prompt) + max_tokens


def measure_work(req):
    """Return the work done for a request so far, in generated tokens."""
    return _estimate_prompt_work(req.prompt) + len(req.tokens)


def _estimate_prompt_work(prompt):
    return len(prompt) / _CHARACTERS_PER_TOKEN * _PROMPT_TOKEN_COST
