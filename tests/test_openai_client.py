"""
The published OpenAI client, with its retries enabled.
"""

from unittest import TestCase

from openai import NotFoundError, OpenAI

from tests.utils.fake_engine import FakeEngine, expected_answer
from tests.utils.local_router import WORKSPACE, LocalRouter, make_view

PROMPT = 'user: a songkok, please\nassistant: '
MESSAGES = ({'role': 'user', 'content': 'a songkok, please'},)
TOKENS = 12


class TestOpenaiClient(TestCase):
    @classmethod
    def setUpClass(cls):
        cls.engines = [FakeEngine('e1', 0, 3), FakeEngine('e2', 4, 5)]
        view = make_view([engine.target for engine in cls.engines])
        cls.router = LocalRouter(view)
        cls.addClassCleanup(cls.router.stop)
        for engine in cls.engines:
            cls.addClassCleanup(engine.stop)
        cls.client = OpenAI(
            api_key='none',
            base_url=f'http://{cls.router.address}/v1',
            default_headers={'X-Mallowcrank-Workspace': WORKSPACE},
            max_retries=2,
        )
        cls.addClassCleanup(cls.client.close)
        cls.expected = expected_answer(PROMPT.encode(), TOKENS)

    def test_plain_chat(self):
        """
        Guards against a whole chat answer that the client can't read.
        """
        answer = self.client.chat.completions.create(
            model='m', messages=MESSAGES, max_tokens=TOKENS
        )
        self.assertEqual(answer.choices[0].message.content, self.expected)
        self.assertEqual(answer.choices[0].finish_reason, 'length')
        self.assertEqual(answer.usage.completion_tokens, TOKENS)

    def test_streamed_chat(self):
        """
        Guards against streamed events that the client can't read, and a
        missing finish reason or usage.
        """
        chunks = list(
            self.client.chat.completions.create(
                model='m',
                messages=MESSAGES,
                max_tokens=TOKENS,
                stream=True,
                stream_options={'include_usage': True},
            )
        )
        texts = [
            chunk.choices[0].delta.content or ''
            for chunk in chunks
            if chunk.choices
        ]
        self.assertEqual(''.join(texts), self.expected)
        self.assertEqual(chunks[-2].choices[0].finish_reason, 'length')
        self.assertEqual(chunks[-1].usage.completion_tokens, TOKENS)

    def test_completion(self):
        """
        Guards against a text completion that the client can't read.
        """
        answer = self.client.completions.create(
            model='m', prompt=PROMPT, max_tokens=TOKENS
        )
        self.assertEqual(answer.choices[0].text, self.expected)

    def test_models(self):
        """
        Guards against a list of models that the client can't read.
        """
        self.assertEqual([each.id for each in self.client.models.list()], ['m'])

    def test_unknown_model_is_not_retried(self):
        """
        Guards against an error that the client retries, or that lacks its code
        or field.
        """
        with self.assertRaises(NotFoundError) as caught:
            self.client.chat.completions.create(model='x', messages=MESSAGES)
        self.assertEqual(caught.exception.code, 'unknown_model')
        self.assertEqual(caught.exception.param, 'model')

    def test_client_retries_until_the_engines_are_back(self):
        """
        Guards against a refusal that the client does not retry.
        """
        view = self.router.agent.view
        self.router.agent.send_view(make_view())
        self.router.wait_view(make_view())
        self.router.agent.send_view(view)
        answer = self.client.completions.create(
            model='m', prompt=PROMPT, max_tokens=TOKENS
        )
        self.assertEqual(answer.choices[0].text, self.expected)
