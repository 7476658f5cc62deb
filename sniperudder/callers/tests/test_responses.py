"""Tests of rendered responses."""

import testtools

from sniperudder.callers import _fields
from sniperudder.callers import _responses


def _make_prompt(chat):
    return _fields.Prompt('demo', 'linen', 4, True, chat, None)


class TokenEventRendererTest(testtools.TestCase):
    """Events whose constant part is rendered once."""

    def test_events_equal_events_rendered_in_one_piece(self):
        tokens = [' w1', '', '"', '\\', '\n', 'é', '\ud800', '"finish_reason"']
        for chat in (False, True):
            prompt = _make_prompt(chat)
            renderer = _responses.TokenEventRenderer('request-1', prompt)
            for token in tokens:
                chunk = _responses.render_completion_chunk(
                    'request-1', prompt, token
                )
                whole = _responses.render_event(chunk)
                self.assertEqual(whole, renderer.render(token), repr(token))

    def test_model_name_that_contains_json_is_escaped(self):
        prompt = _fields.Prompt('"text":""', 'linen', 4, True, False, None)
        renderer = _responses.TokenEventRenderer('"text":""', prompt)
        chunk = _responses.render_completion_chunk('"text":""', prompt, 'wool')
        self.assertEqual(
            _responses.render_event(chunk), renderer.render('wool')
        )
