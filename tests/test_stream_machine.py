"""
The state machine of one stream: each layer once for each token, in order.
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
from tests.utils.fake_engine import LAYERS, whole_answer
from tests.utils.stream_world import PlainEngine, StreamWorld, answer_to

WORLDS = 400
TWO_STAGES = Route((Stage('e1', 1, 0, 2), Stage('e2', 1, 3, 5)))
NO_PATH = Refused(Reason.NO_ROUTE, Ran.NO, 'no path', retry_after_s=1)


def make_engines():
    return (
        PlainEngine('e1', 0, 2),
        PlainEngine('e2', 3, 5),
        PlainEngine('e3', 2, 5),
        PlainEngine('e4', 0, 3),
        PlainEngine('e5', 3, 5),
    )


class TestFaultyWorlds(TestCase):
    def test_answer_is_whole_and_each_layer_ran_once_in_order(self):
        for seed in range(WORLDS):
            with self.subTest(seed=seed):
                world = StreamWorld(seed, make_engines())
                world.run()
                self.check(world)

    def test_answer_is_whole_where_inputs_are_not_kept(self):
        for seed in range(WORLDS):
            with self.subTest(seed=seed):
                world = StreamWorld(seed, make_engines(), crowds=True)
                world.run()
                self.check(world)
                if not world.state.retains_inputs:
                    self.assertEqual(count_retained(world.state), 0)

    def check(self, world):
        self.assertEqual(world.end, Finish('length'))
        self.assertEqual(bytes(world.answer).decode(), whole_answer(b'hat', 6))
        lineage = world.lineage()
        self.assertEqual(sorted(lineage), list(range(LAYERS)))
        last = world.state.total_tokens - 1
        for tokens in lineage.values():
            # An engine that fails after the last token has lost its state.
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

    def test_token_goes_through_the_stages_in_order(self):
        step = self.sent(self.actions)[0].step
        self.assertEqual((step.token, step.count), (0, 2))
        following = self.sent(self.answer(70, 80))[0]
        self.assertEqual(following.target, 'e2')
        self.assertEqual(following.step.inputs, (70, 80))
        self.assertEqual(self.answer(65)[0], Emit(65))
        self.assertEqual(step_in_flight(self.state).inputs, (65,))

    def test_late_crossed_and_doubled_answers_are_dropped(self):
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

    def test_repeated_step_is_never_run_again_on_the_same_state(self):
        step = step_in_flight(self.state)
        again = self.sent(self.feed(Lost('e1', step, Ran.UNKNOWN)))
        self.assertEqual(again, [SendStep('e1', step)])
        fresh = self.sent(self.answer(refused='repeated'))[0]
        self.assertEqual(fresh.target, 'e1')
        self.assertEqual((fresh.step.attempt, fresh.step.token), (2, 0))

    def test_lost_stage_is_rebuilt_and_the_others_go_on(self):
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

    def test_all_stages_run_again_where_inputs_are_not_kept(self):
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

    def test_import_still_saves_a_run_where_inputs_are_not_kept(self):
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

    def test_path_with_other_boundaries_runs_all_again_on_fresh_states(self):
        self.answer(70, 80)
        self.feed(Lost('e2', step_in_flight(self.state), Ran.NO))
        other = Route((Stage('e1', 1, 0, 1), Stage('e3', 1, 2, 5)))
        sent = self.sent(self.feed(RouteFound(other)))[0]
        self.assertEqual((sent.step.attempt, sent.step.count), (2, 2))

    def test_no_path_before_anything_ran_is_refused_at_once(self):
        state, _ = apply_event(StreamState(Task('s', (7,), 3)), Started())
        ended, actions = apply_event(state, NoRoute(NO_PATH, may_wait=True))
        self.assertEqual(actions, (Fail(NO_PATH),))
        self.assertIs(ended.phase, Phase.ENDED)

    def test_no_path_in_the_middle_waits_for_a_replacement(self):
        self.feed(Lost('e1', step_in_flight(self.state), Ran.NO))
        self.assertEqual(self.feed(NoRoute(NO_PATH, may_wait=True)), (Wait(),))

    def test_cancelled_stream_is_forgotten_on_every_engine(self):
        gone = Refused(Reason.CANCELLED, Ran.NO, 'gone')
        actions = self.feed(Cancelled(gone))
        self.assertIn(FreeStates('e1', 1), actions)
        self.assertIn(FreeStates('e2', 1), actions)
        self.assertIs(actions[-1].refused.ran, Ran.UNKNOWN)
        self.assertEqual(self.answer(70, 80), ())
