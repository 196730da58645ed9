"""
State machine of one stream: each layer runs once for each token, in order,
also with lost, late and duplicated messages.
"""

from unittest import TestCase

from mallowcrank.ports import StepResult
from mallowcrank.refusals import Ran, Reason, Refused
from mallowcrank.router.ports import Route, Stage
from mallowcrank.streams.actions import (
    Emit,
    Fail,
    FindRoute,
    Finish,
    FreeStates,
    SendStep,
    Wait,
)
from mallowcrank.streams.events import (
    Answered,
    Cancelled,
    InputLimitReached,
    Lost,
    NoRoute,
    RouteFound,
    Started,
    Transferred,
)
from mallowcrank.streams.machine import apply_event
from mallowcrank.streams.retention import count_retained
from mallowcrank.streams.state import Phase, StreamState, Task, step_in_flight
from tests.utils.fake_engine import LAYERS, expected_answer
from tests.utils.stream_world import (
    SimulatedEngine,
    StreamSimulation,
    answer_to,
)

SEEDS = 400
TWO_STAGES = Route((Stage('e1', 1, 0, 2), Stage('e2', 1, 3, 5)))
NO_PATH = Refused(Reason.NO_ROUTE, Ran.NO, 'no path', retry_after_s=1)


def make_engines():
    return (
        SimulatedEngine('e1', 0, 2),
        SimulatedEngine('e2', 3, 5),
        SimulatedEngine('e3', 2, 5),
        SimulatedEngine('e4', 0, 3),
        SimulatedEngine('e5', 3, 5),
    )


class TestRandomFaults(TestCase):
    def test_answer_is_complete_and_each_layer_ran_once_in_order(self):
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                simulation = StreamSimulation(seed, make_engines())
                simulation.run()
                self.check(simulation)

    def test_answer_is_complete_if_inputs_are_not_retained(self):
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                simulation = StreamSimulation(
                    seed, make_engines(), limits_inputs=True
                )
                simulation.run()
                self.check(simulation)
                if not simulation.state.retains_inputs:
                    self.assertEqual(count_retained(simulation.state), 0)

    def check(self, simulation):
        self.assertEqual(simulation.end, Finish('length'))
        self.assertEqual(
            bytes(simulation.answer).decode(), expected_answer(b'hat', 6)
        )
        lineage = simulation.lineage()
        self.assertEqual(sorted(lineage), list(range(LAYERS)))
        last = simulation.state.total_tokens - 1
        for tokens in lineage.values():
            # An engine that crashes after the last token has lost its state.
            if tokens is not None:
                self.assertEqual(tokens, list(range(len(tokens))))
                self.assertGreaterEqual(len(tokens), last)


class TestStream(TestCase):
    def setUp(self):
        self.state = StreamState(Task('s', (7, 8), 3))
        self.feed(Started())
        self.actions = self.feed(RouteFound(TWO_STAGES))

    def feed(self, event):
        after, actions = apply_event(self.state, event)
        self.state = after
        return actions

    def answer(self, *outputs, refused=''):
        step = step_in_flight(self.state)
        given = answer_to(step, outputs=outputs, refused=refused)
        return self.feed(Answered(self.state.active.stage.target, given))

    def sent(self, actions):
        return [each for each in actions if isinstance(each, SendStep)]

    def test_token_passes_through_the_stages_in_order(self):
        step = self.sent(self.actions)[0].step
        self.assertEqual((step.token, step.count), (0, 2))
        following = self.sent(self.answer(70, 80))[0]
        self.assertEqual(following.target, 'e2')
        self.assertEqual(following.step.inputs, (70, 80))
        self.assertEqual(self.answer(65)[0], Emit(65))
        self.assertEqual(step_in_flight(self.state).inputs, (65,))

    def test_mismatched_and_duplicate_answers_are_dropped(self):
        first = step_in_flight(self.state)
        answered = Answered('e1', answer_to(first, outputs=(70, 80)))
        crossed = (
            Answered('e2', answered.result),
            Answered('e1', StepResult('t', 1, 0, 0, 2, (1, 2))),
            Answered('e1', StepResult('s', 2, 0, 0, 2, (1, 2))),
            Answered('e1', StepResult('s', 1, 1, 0, 2, (1, 2))),
            Answered('e1', StepResult('s', 1, 0, 0, 5, (1, 2))),
        )
        for wrong in crossed:
            before = self.state
            self.assertEqual(self.feed(wrong), ())
            self.assertEqual(self.state, before)
        self.assertEqual(len(self.feed(answered)), 1)
        self.assertEqual(self.feed(answered), ())

    def test_repeated_step_is_rebuilt_under_a_new_attempt(self):
        step = step_in_flight(self.state)
        again = self.sent(self.feed(Lost('e1', step, Ran.UNKNOWN)))
        self.assertEqual(again, [SendStep('e1', step)])
        fresh = self.sent(self.answer(refused='repeated'))[0]
        self.assertEqual(fresh.target, 'e1')
        self.assertEqual((fresh.step.attempt, fresh.step.token), (2, 0))

    def test_failed_stage_is_rebuilt_and_the_others_keep_their_state(self):
        self.answer(70, 80)
        self.answer(65)
        self.answer(90)
        step = step_in_flight(self.state)
        actions = self.feed(Lost('e2', step, Ran.NO))
        self.assertIn(FindRoute(frozenset(('e2',))), actions)
        other = Route((TWO_STAGES.stages[0], Stage('e3', 1, 3, 5)))
        rebuilt = self.sent(self.feed(RouteFound(other)))
        self.assertEqual(rebuilt[0].target, 'e3')
        self.assertEqual(rebuilt[0].step.inputs, (70, 80, 90))
        self.assertEqual(self.answer(66)[0], Emit(66))

    def test_all_stages_run_again_if_inputs_are_not_retained(self):
        self.feed(InputLimitReached())
        self.answer(70, 80)
        self.answer(65)
        self.answer(90)
        self.assertEqual(step_in_flight(self.state).inputs, (90,))
        self.feed(Lost('e2', step_in_flight(self.state), Ran.NO))
        other = Route((TWO_STAGES.stages[0], Stage('e3', 1, 3, 5)))
        again = self.sent(self.feed(RouteFound(other)))[0]
        self.assertEqual(again.target, 'e1')
        self.assertEqual((again.step.attempt, again.step.token), (2, 0))
        self.assertEqual(again.step.inputs, (7, 8, 65))
        rest = self.sent(self.answer(70, 80, 90))[0]
        self.assertEqual(rest.step.inputs, (70, 80, 90))
        self.assertEqual(self.answer(66)[0], Emit(66))

    def test_import_avoids_a_rerun_if_inputs_are_not_retained(self):
        self.feed(InputLimitReached())
        self.answer(70, 80)
        self.answer(65)
        self.answer(90)
        self.answer(refused='leaving')
        other = Route((TWO_STAGES.stages[0], Stage('e3', 1, 3, 5)))
        asked = self.feed(RouteFound(other, allow_import=True))[-1]
        self.assertEqual((asked.source, asked.new_attempt), ('e2', 2))
        step = self.sent(self.feed(Transferred(2, done=True)))[0]
        self.assertEqual((step.target, step.step.token), ('e3', 2))
        self.assertEqual(step.step.inputs, (90,))

    def test_path_with_other_boundaries_rebuilds_all_states(self):
        self.answer(70, 80)
        self.feed(Lost('e2', step_in_flight(self.state), Ran.NO))
        other = Route((Stage('e1', 1, 0, 1), Stage('e3', 1, 2, 5)))
        sent = self.sent(self.feed(RouteFound(other)))[0]
        self.assertEqual((sent.step.attempt, sent.step.count), (2, 2))

    def test_missing_path_is_refused_at_once_before_the_first_step(self):
        state, _ = apply_event(StreamState(Task('s', (7,), 3)), Started())
        ended, actions = apply_event(state, NoRoute(NO_PATH, may_wait=True))
        self.assertEqual(actions, (Fail(NO_PATH),))
        self.assertIs(ended.phase, Phase.ENDED)

    def test_missing_path_is_waited_for_after_the_first_step(self):
        self.feed(Lost('e1', step_in_flight(self.state), Ran.NO))
        self.assertEqual(self.feed(NoRoute(NO_PATH, may_wait=True)), (Wait(),))

    def test_states_of_a_cancelled_stream_are_freed_on_every_engine(self):
        gone = Refused(Reason.CANCELLED, Ran.NO, 'gone')
        actions = self.feed(Cancelled(gone))
        self.assertIn(FreeStates('e1', 1), actions)
        self.assertIn(FreeStates('e2', 1), actions)
        self.assertIs(actions[-1].refused.ran, Ran.UNKNOWN)
        self.assertEqual(self.answer(70, 80), ())
