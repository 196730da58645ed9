"""
Guards against callers that wait for a silent router until their deadline.
"""

import threading
from unittest import TestCase

from mallowcrank.load.attempts import AttemptRequest, Connections, attempt
from mallowcrank.load.records import CallKind, Plan
from mallowcrank.web import Response, WebServer

PLAN = Plan(1, CallKind.COMPLETION, 'topi/quotes', 'assistant', 'hat', 3)
ALERT = Plan(1, CallKind.SERVICE, 'rail/alerts', 'alert', '{}', silence_s=0.05)
STREAM = (('Content-Type', 'text/event-stream'),)
CHUNK = b'data: {"choices": [{"text": "h", "finish_reason": null}]}\n\n'


class TestSilence(TestCase):
    def setUp(self):
        self.is_finished = threading.Event()
        self.addCleanup(self.is_finished.set)

    def attempt_once(self, plan, handler):
        server = WebServer('127.0.0.1:0', handler)
        server.start()
        self.addCleanup(server.stop)
        self.addCleanup(self.is_finished.set)
        sending = AttemptRequest(plan, server.address, 30, '')
        return attempt(sending, Connections())

    def send_chunk_and_freeze(self):
        yield CHUNK
        self.is_finished.wait()

    def test_frozen_stream_is_abandoned_with_its_received_text(self):
        frozen = self.attempt_once(
            PLAN, lambda _: Response(200, self.send_chunk_and_freeze(), STREAM)
        )
        self.assertTrue(frozen.is_broken)
        self.assertEqual(frozen.streamed.text, 'h')
        self.assertFalse(self.is_finished.is_set())

    def test_urgent_call_without_an_answer_is_abandoned(self):
        frozen = self.attempt_once(
            ALERT, lambda _: Response(200, self.send_chunk_and_freeze())
        )
        self.assertTrue(frozen.is_broken)
        self.assertFalse(frozen.is_unsent)
