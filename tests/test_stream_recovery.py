"""
Recovery of streams over real connections from failures of engines and callers.
"""

import json
import threading
from dataclasses import replace
from unittest import TestCase

from tests.utils.fake_engine import FakeEngine, expected_answer
from tests.utils.local_router import (
    LocalRouter,
    events_of,
    make_view,
    text_of,
    wait_until,
)

TOKENS = 24
ENDLESS_TOKENS = 1_000_000
EXPECTED = expected_answer(b'hat', TOKENS)


class TestRecovery(TestCase):
    def setUp(self):
        self.engines = {
            name: FakeEngine(name, first, last)
            for name, first, last in (
                ('e1', 0, 2),
                ('e2', 3, 5),
                ('e3', 3, 5),
                ('e4', 0, 2),
            )
        }
        for engine in self.engines.values():
            self.addCleanup(engine.stop)
        self.router = self.start('e1', 'e2')

    def start(self, *names):
        router = LocalRouter(self.view(*names))
        self.addCleanup(router.stop)
        return router

    def announce_slow_steps(self, *names):
        """
        Announce long step times, so that a stall of this host does not cause
        timeouts.
        """
        for name in names:
            self.engines[name].step_ms = 1000

    def view(self, *names):
        return make_view([self.engines[name].target for name in names])

    def ran_on(self, name):
        return sum(step.count for step in self.engines[name].ran)

    def test_failed_stage_is_replaced_and_the_other_keeps_its_state(self):
        self.announce_slow_steps('e1')
        self.engines['e2'].silent_after = 10
        view = self.view('e1', 'e2', 'e3')
        self.router.agent.send_view(view)
        self.router.wait_view(view)
        self.engines['e2'].recovers = False
        self.assertEqual(text_of(self.router.chat(count=TOKENS)), EXPECTED)
        self.assertEqual(self.ran_on('e1'), len('hat') + TOKENS - 1)

    def test_stream_waits_for_a_later_replacement(self):
        self.engines['e2'].silent_after = 10
        self.engines['e2'].recovers = False
        answers = []
        thread = threading.Thread(
            target=lambda: answers.append(self.router.chat(count=TOKENS))
        )
        thread.start()
        wait_until(lambda: self.ran_on('e2') >= 10)
        self.engines['e2'].is_dead = True
        self.router.agent.send_view(self.view('e1', 'e3'))
        thread.join()
        self.assertEqual(text_of(answers[0]), EXPECTED)

    def test_unresponsive_connection_is_replaced(self):
        self.announce_slow_steps('e1', 'e2')
        self.router.agent.send_view(self.view('e1', 'e2'))
        self.router.wait_view(self.view('e1', 'e2'))
        self.engines['e2'].silent_after = 10
        answer = self.router.chat(count=TOKENS, stream=True)
        self.assertEqual(text_of(answer), EXPECTED)
        attempts = {step.attempt for step in self.engines['e2'].ran}
        self.assertEqual(attempts, {1})

    def test_step_whose_answer_was_lost_is_not_run_again(self):
        self.engines['e2'].silent_after = 10
        self.engines['e2'].runs_when_silent = True
        self.assertEqual(text_of(self.router.chat(count=TOKENS)), EXPECTED)
        for attempt in (1, 2):
            tokens = [
                number
                for step in self.engines['e2'].ran
                if step.attempt == attempt
                for number in range(step.token, step.token + step.count)
            ]
            self.assertEqual(tokens, list(range(len(tokens))))

    def test_state_is_imported_if_the_old_engine_still_answers(self):
        # Importing is chosen only if running all tokens again is slower.
        self.announce_slow_steps('e1', 'e2', 'e3')
        self.router.agent.send_view(self.view('e1', 'e2', 'e3'))
        self.router.wait_view(self.view('e1', 'e2', 'e3'))
        answers = []
        thread = threading.Thread(
            target=lambda: answers.append(self.router.chat(count=TOKENS))
        )
        thread.start()
        wait_until(lambda: self.ran_on('e2') >= 10)
        self.engines['e2'].refuse = 'leaving'
        thread.join()
        self.assertEqual(text_of(answers[0]), EXPECTED)
        total = len('hat') + TOKENS - 1
        self.assertEqual(self.ran_on('e2') + self.ran_on('e3'), total)

    def test_disconnect_cancels_the_stream_on_every_engine(self):
        connection = self.request_endless_answer(stream=True)
        connection.getresponse().read(1)
        connection.close()
        self.wait_for_cancels()

    def test_disconnect_is_noticed_without_streaming(self):
        connection = self.request_endless_answer(stream=False)
        wait_until(lambda: self.ran_on('e2') >= 10)
        connection.close()
        self.wait_for_cancels()

    def test_disconnect_is_noticed_before_the_first_token(self):
        # The announced step time is long, so that the engine does not time out.
        self.engines['e2'].step_ms = 50_000
        self.engines['e2'].silent_after = 0
        self.engines['e2'].recovers = False
        self.router.agent.send_view(self.view('e1', 'e2'))
        self.router.wait_view(self.view('e1', 'e2'))
        connection = self.request_endless_answer(stream=True)
        wait_until(lambda: self.ran_on('e1') >= len('hat'))
        connection.close()
        self.wait_for_cancels('e1')

    def request_endless_answer(self, *, stream):
        """
        Request far more tokens than the test waits for.
        """
        before = self.router.agent.view
        model = replace(before.models['m'], max_tokens=ENDLESS_TOKENS)
        view = replace(before, models={'m': model})
        self.router.agent.send_view(view)
        self.router.wait_view(view)
        body = {
            'model': 'm',
            'prompt': 'hat',
            'max_tokens': ENDLESS_TOKENS,
            'stream': stream,
        }
        headers = {'x-mallowcrank-workspace': 'klang/quotes'}
        connection = self.router.connect()
        connection.request('POST', '/v1/completions', json.dumps(body), headers)
        return connection

    def wait_for_cancels(self, *names):
        """
        Wait until the KV states are freed and no request is in flight.
        """
        for name in names or ('e1', 'e2'):
            engine = self.engines[name]
            wait_until(lambda: engine.cancelled and not engine.states)
        wait_until(lambda: not self.router.router.parts.in_flight.count)

    def test_streams_share_calls_and_keep_their_own_answers(self):
        prompts = [f'hat number {number}' for number in range(16)]
        answers = {}

        def ask(prompt):
            answers[prompt] = self.router.chat(prompt, TOKENS, stream=True)

        threads = [
            threading.Thread(target=ask, args=(each,)) for each in prompts
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        for prompt in prompts:
            self.assertEqual(
                text_of(answers[prompt]),
                expected_answer(prompt.encode(), TOKENS),
            )
        self.assertGreater(max(self.engines['e1'].batches), 1)

    def test_failed_stream_ends_in_an_error_event(self):
        self.engines['e2'].silent_after = 10
        self.engines['e2'].recovers = False
        answer = self.router.chat(
            count=TOKENS, stream=True, x_mallowcrank_deadline_ms='1500'
        )
        last = events_of(answer.whole)[-1]
        # There is no other path until the deadline; either may end the stream.
        self.assertIn(last['error']['code'], {'deadline_passed', 'no_route'})
        self.assertEqual(last['error']['ran'], 'yes')
