"""
Answers to bad input: a 4xx status that names the field, and nothing ran.
"""

import json
from dataclasses import replace
from types import MappingProxyType
from unittest import TestCase
from unittest.mock import patch

from mallowcrank.web import MAX_BODY_BYTES
from tests.utils.local_router import WORKSPACE, LocalRouter, make_view, service

CHAT = '/v1/chat/completions'
VALID_BODY = MappingProxyType(
    {'model': 'm', 'messages': [{'role': 'user', 'content': 'hat'}]}
)
HEADERS = MappingProxyType({'x_mallowcrank_workspace': WORKSPACE})


def chat(**changed):
    return CHAT, {**VALID_BODY, **changed}, HEADERS


def with_header(name, header_value):
    return CHAT, {**VALID_BODY}, {**HEADERS, name: header_value}


# Each entry: (path, body, headers), the invalid field, the error code.
BAD_REQUESTS = (
    ((CHAT, b'{"model": ', HEADERS), 'body', 'bad_request'),
    ((CHAT, b'[1]', HEADERS), 'body', 'bad_request'),
    ((CHAT, b'', HEADERS), 'body', 'bad_request'),
    ((CHAT, b'\xff\xfe', HEADERS), 'body', 'bad_request'),
    ((CHAT, b'[' * 100_000, HEADERS), 'body', 'bad_request'),
    ((CHAT, b'x' * (MAX_BODY_BYTES + 1), HEADERS), 'body', 'body_too_large'),
    (chat(model='other'), 'model', 'unknown_model'),
    (chat(model=7), 'model', 'bad_request'),
    (chat(messages='hat'), 'messages', 'bad_request'),
    (chat(messages=[{'role': 'user'}]), 'messages', 'bad_request'),
    (chat(messages=[]), 'messages', 'bad_request'),
    (chat(max_tokens='many'), 'max_tokens', 'bad_request'),
    (chat(max_tokens=0), 'max_tokens', 'bad_request'),
    (chat(max_tokens=True), 'max_tokens', 'bad_request'),
    (chat(stream='yes'), 'stream', 'bad_request'),
    (chat(n=2), 'n', 'bad_request'),
    (
        ('/v1/completions', {'model': 'm', 'prompt': 7}, HEADERS),
        'prompt',
        'bad_request',
    ),
    (
        (CHAT, {**VALID_BODY}, {'x_mallowcrank_workspace': 'no/such'}),
        'X-Mallowcrank-Workspace',
        'unknown_workspace',
    ),
    (
        (CHAT, {**VALID_BODY}, {'x_mallowcrank_workspace': ''}),
        'X-Mallowcrank-Workspace',
        'bad_request',
    ),
    (
        with_header('x_mallowcrank_deadline_ms', '0'),
        'X-Mallowcrank-Deadline-Ms',
        'deadline_passed',
    ),
    (
        with_header('x_mallowcrank_deadline_ms', '-5'),
        'X-Mallowcrank-Deadline-Ms',
        'deadline_passed',
    ),
    (
        with_header('x_mallowcrank_deadline_ms', 'soon'),
        'X-Mallowcrank-Deadline-Ms',
        'bad_request',
    ),
    (
        with_header('x_mallowcrank_priority', 'high'),
        'X-Mallowcrank-Priority',
        'bad_request',
    ),
    (
        with_header('x_mallowcrank_repeatable', 'maybe'),
        'X-Mallowcrank-Repeatable',
        'bad_request',
    ),
    (
        with_header('x_mallowcrank_repeatable', 'no'),
        'Idempotency-Key',
        'key_required',
    ),
    (
        with_header('idempotency_key', 'k' * 300),
        'Idempotency-Key',
        'bad_request',
    ),
    (('/v1/services/none/x', b'', HEADERS), 'path', 'unknown_service'),
    (('/v1/services/stock/x', b'', HEADERS), 'Idempotency-Key', 'key_required'),
)


class TestBadInput(TestCase):
    @classmethod
    def setUpClass(cls):
        cls.router = LocalRouter(make_view((), (service('stock'),)))
        cls.addClassCleanup(cls.router.stop)

    def test_each_bad_request_is_refused_with_its_field(self):
        """
        Guards against running bad input, and against errors that do not name
        the invalid field or ask for a retry.
        """
        for (path, body, headers), field, code in BAD_REQUESTS:
            with self.subTest(path=path, field=field, code=code):
                response = self.router.send('POST', path, body, **headers)
                error = json.loads(response.whole)['error']
                self.assertIn(response.status // 100, {4})
                self.assertEqual(
                    (error['param'], error['code'], error['ran']),
                    (field, code, 'no'),
                )
                self.assertEqual(response.headers['x-should-retry'], 'false')

    def test_request_without_engines_is_refused_and_may_be_retried(self):
        """
        Guards against keeping a request that no engine can run, and against an
        answer that discourages a retry.
        """
        response = self.router.send('POST', *chat()[:2])
        error = json.loads(response.whole)['error']
        self.assertEqual((error['code'], error['ran']), ('no_route', 'no'))
        self.assertEqual(response.headers['retry-after'], '1')

    def test_models_of_the_workspace_are_listed(self):
        """
        Guards against listing other models than those of the workspace.
        """
        listed = json.loads(self.router.send('GET', '/v1/models').whole)
        self.assertEqual([each['id'] for each in listed['data']], ['m'])


class TestFailures(TestCase):
    def setUp(self):
        view = make_view((), (service('stock'),))
        workspace = replace(view.workspaces[WORKSPACE], streams=1)
        self.router = LocalRouter(
            replace(view, workspaces={WORKSPACE: workspace})
        )
        self.addCleanup(self.router.stop)
        self.parts = self.router.router.parts

    def test_internal_error_releases_the_admission(self):
        """
        Guards against a leak of admitted requests: with a limit of one stream,
        a request that was not released would block all later ones.
        """
        with patch.object(self.parts.driver, 'tell', side_effect=KeyError):
            for _ in range(3):
                path, body, headers = chat(max_tokens=1)
                response = self.router.send(
                    'POST',
                    path,
                    body,
                    **headers,
                    x_mallowcrank_deadline_ms='2000',
                )
                error = json.loads(response.whole)['error']
                self.assertEqual(
                    (error['code'], error['ran']), ('internal', 'unknown')
                )

    def test_call_of_a_service_removed_while_it_waits_is_refused(self):
        """
        Guards against an internal error if a service is removed while a call
        of it waits for admission.
        """

        def admit(_ticket):
            self.parts.view_store.apply(make_view())

        with patch.object(self.parts.admission, 'admit', side_effect=admit):
            response = self.router.send(
                'GET', '/v1/services/stock/felt', x_mallowcrank_repeatable='yes'
            )
        error = json.loads(response.whole)['error']
        self.assertEqual(
            (error['code'], error['ran']), ('unknown_service', 'no')
        )
