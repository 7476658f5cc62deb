"""The form of answers."""

import testtools

from sniperudder.callers import _answers
from sniperudder.callers import _fields


def _make_prompt(chat):
    return _fields.Prompt('demo', 'linen', 4, True, chat, None)


class PieceRendererTest(testtools.TestCase):
    """Events whose fixed part is rendered once."""

    def test_events_equal_those_rendered_whole(self):
        tokens = [' w1', '', '"', '\\', '\n', 'é', '\ud800', '"finish_reason"']
        for chat in (False, True):
            prompt = _make_prompt(chat)
            renderer = _answers.PieceRenderer('request-1', prompt)
            for token in tokens:
                piece = _answers.render_piece('request-1', prompt, token)
                whole = _answers.render_event(piece)
                self.assertEqual(whole, renderer.render(token), repr(token))

    def test_a_model_named_like_a_field_changes_nothing(self):
        prompt = _fields.Prompt('"text":""', 'linen', 4, True, False, None)
        renderer = _answers.PieceRenderer('"text":""', prompt)
        piece = _answers.render_piece('"text":""', prompt, 'wool')
        self.assertEqual(_answers.render_event(piece), renderer.render('wool'))
