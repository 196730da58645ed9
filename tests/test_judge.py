"""
Guards against broken promises that the checks of a run would miss, and against
findings for correct runs.
"""

import json
from dataclasses import replace
from unittest import TestCase

from xxhash import xxh64_hexdigest

from mallowcrank.load.evidence import Evidence, Observations
from mallowcrank.load.judge import Verdict, judge
from mallowcrank.load.promises import PROMISES
from mallowcrank.load.records import (
    CallKind,
    CallRecord,
    Outcome,
    Plan,
    Try,
)
from mallowcrank.load.trace import CallLine, Trace, parse_lines
from mallowcrank.ports import Step
from mallowcrank.standins.arithmetic import expected_answer
from mallowcrank.standins.kv import KvStates

LAYERS = 4
PROMPT = 'hat'
TOKENS = 3
ANSWER = expected_answer(PROMPT.encode(), LAYERS, TOKENS).decode()


class TracedEngines:
    """
    Engines that run streams and record the lines of their traces.
    """

    def __init__(self):
        self.lines = []
        self.now = 0
        self.states = {}

    def run(self, engine, layers, token, inputs, attempt=1, stream='r1'):
        states = self.states.setdefault(engine, KvStates(engine))
        step = Step(
            stream, attempt, token, len(inputs), *layers, inputs=tuple(inputs)
        )
        outputs, state = states.run(step, LAYERS, self.now)
        self.now += 1
        self.lines.append(
            {
                'event': 'step',
                'time': self.now,
                'target': engine,
                'stream': stream,
                'token': token,
                'count': len(inputs),
                'first_layer': layers[0],
                'last_layer': layers[1],
                'state': state,
                'input': str(inputs[-1]),
                'output': str(outputs[-1]),
            }
        )
        return outputs

    def move(self, source, destination, layers, stream='r1'):
        exported = self.states[source].export(stream, 1, layers)
        states = self.states.setdefault(destination, KvStates(destination))
        state = states.import_(stream, 1, exported, self.now)
        self.lines.append(
            {
                'event': 'import',
                'time': self.now,
                'target': destination,
                'stream': stream,
                'count': exported.counts[0][1],
                'first_layer': min(layers),
                'last_layer': max(layers),
                'state': state.name,
                'parent': exported.state,
            }
        )


def run_completion(engines, last='b'):
    """
    Run the prompt and all tokens of a completion on two stages.

    :param last: the engine of the second stage.
    """
    inputs, token = tuple(PROMPT.encode()), 0
    for _ in range(TOKENS):
        hidden = engines.run('a', (0, 1), token, inputs)
        outputs = engines.run(last, (2, 3), token, hidden)
        token += len(inputs)
        inputs = outputs


def make_completion(**fields):
    plan = Plan(1, CallKind.COMPLETION, 'topi/klang', 'model', PROMPT, TOKENS)
    record = CallRecord(
        plan,
        Outcome.COMPLETED,
        0,
        1,
        (Try('r1', 'router', 0, 1, 200, 'yes'),),
        ANSWER,
        'length',
        TOKENS,
    )
    return replace(record, **fields)


def make_service_call(outcome=Outcome.COMPLETED, ran='yes', **fields):
    body = json.dumps({'call': 2})
    plan = Plan(
        2, CallKind.SERVICE, 'topi/klang', 'stock', body, repeatable=False
    )
    answer = json.dumps({'service': 'stock', 'body': {'call': 2}})
    record = CallRecord(
        plan, outcome, 0, 1, (Try('r2', 'router', 0, 1, 200, ran),), answer
    )
    return replace(record, **fields)


def make_call_line(request='r2', body='{"call": 2}'):
    return CallLine(0, 's1', request, 'k', xxh64_hexdigest(body.encode()))


def judge_record(record, trace):
    return judge(Evidence((record,), trace, {'model': LAYERS}))


class TestLayers(TestCase):
    def setUp(self):
        self.engines = TracedEngines()

    def assert_violation(self, text, record=None):
        verdict = judge_record(
            record or make_completion(), parse_lines(self.engines.lines)
        )
        self.assertEqual(len(verdict.layer_violations), 1, verdict)
        self.assertIn(text, verdict.layer_violations[0])

    def test_complete_run_is_clean(self):
        run_completion(self.engines)
        verdict = judge_record(
            make_completion(), parse_lines(self.engines.lines)
        )
        self.assertTrue(verdict.is_clean, verdict)

    def test_imported_state_is_clean(self):
        hidden = self.engines.run('a', (0, 1), 0, tuple(PROMPT.encode()))
        outputs = self.engines.run('b', (2, 3), 0, hidden)
        self.engines.move('b', 'c', range(2, 4))
        for token in (3, 4):
            hidden = self.engines.run('a', (0, 1), token, outputs)
            outputs = self.engines.run('c', (2, 3), token, hidden)
        verdict = judge_record(
            make_completion(), parse_lines(self.engines.lines)
        )
        self.assertTrue(verdict.is_clean, verdict)

    def test_state_rebuilt_from_stored_inputs_is_clean(self):
        run_completion(self.engines)
        first = tuple(PROMPT.encode()) + tuple(ANSWER[:2].encode())
        scratch = TracedEngines()
        hidden = scratch.run('a', (0, 1), 0, first)
        first_stage = [
            line for line in self.engines.lines if line['target'] == 'a'
        ]
        self.engines.lines = first_stage
        self.engines.run('c', (2, 3), 0, hidden, attempt=2)
        verdict = judge_record(
            make_completion(), parse_lines(self.engines.lines)
        )
        self.assertTrue(verdict.is_clean, verdict)

    def test_token_run_twice(self):
        run_completion(self.engines)
        doubled = dict(self.engines.lines[2])
        self.engines.lines.insert(3, doubled)
        self.assert_violation('twice')

    def test_skipped_token(self):
        run_completion(self.engines)
        self.engines.lines.pop(2)
        self.assert_violation('skipped')

    def test_imported_state_without_a_token(self):
        self.test_imported_state_is_clean()
        first = next(
            line for line in self.engines.lines if line['target'] == 'b'
        )
        self.engines.lines.remove(first)
        self.assert_violation('ran 0 tokens')

    def test_skipped_layer(self):
        run_completion(self.engines)
        for line in self.engines.lines:
            if line['target'] == 'b':
                line['first_layer'] = 3
        self.assert_violation('no step gave layer 3')

    def test_stage_with_the_output_of_another_step(self):
        run_completion(self.engines)
        self.engines.lines[-1]['input'] = '17'
        self.assert_violation('no step gave layer 2')

    def test_token_that_no_step_produced(self):
        run_completion(self.engines)
        self.engines.lines.pop()
        self.assert_violation('no step gave token')

    def test_wrong_text(self):
        run_completion(self.engines)
        self.assert_violation(
            'another text', make_completion(answer=f'{ANSWER[:-1]}#')
        )

    def test_wrong_text_of_an_interrupted_stream(self):
        broken = make_completion(answer='#', outcome=Outcome.UNKNOWN)
        self.assert_violation('another text', broken)


class TestAnswers(TestCase):
    def setUp(self):
        engines = TracedEngines()
        run_completion(engines)
        self.trace = parse_lines(engines.lines)

    def test_answer_that_ends_early(self):
        short = make_completion(answer=ANSWER[:2], told_tokens=2)
        self.assertIn('ends after 2', judge_record(short, self.trace).lost[0])

    def test_answer_with_missing_text(self):
        short = make_completion(answer=ANSWER[:2])
        self.assertIn('says 3', judge_record(short, self.trace).lost[0])

    def test_call_without_a_final_answer(self):
        gone = make_completion(outcome=Outcome.LOST, answer='')
        self.assertEqual(len(judge_record(gone, self.trace).lost), 1)

    def test_answer_of_another_call(self):
        other_text = expected_answer(b'tudung', LAYERS, TOKENS).decode()
        mine = make_completion(answer=other_text)
        plan = replace(mine.plan, number=7, prompt='tudung')
        theirs = make_completion(plan=plan, answer=other_text)
        verdict = judge(Evidence((mine, theirs), self.trace, {'model': LAYERS}))
        self.assertIn('call 1', verdict.crossed[0])
        self.assertEqual(len(verdict.crossed), 1)

    def test_service_answer_of_another_call(self):
        record = make_service_call(
            answer=json.dumps({'service': 'stock', 'body': {'call': 9}})
        )
        verdict = judge_record(record, Trace(calls=(make_call_line(),)))
        self.assertEqual(len(verdict.crossed), 1)

    def test_own_service_answer_is_clean(self):
        verdict = judge_record(
            make_service_call(), Trace(calls=(make_call_line(),))
        )
        self.assertTrue(verdict.is_clean, verdict)


class TestExecutions(TestCase):
    def test_service_call_that_ran_twice(self):
        trace = Trace(calls=(make_call_line('r2'), make_call_line('r3')))
        self.assertIn(
            '2 times', judge_record(make_service_call(), trace).doubled[0]
        )

    def test_completion_that_ran_twice(self):
        engines = TracedEngines()
        run_completion(engines)
        engines.run('a', (0, 1), 0, (1,), stream='r0')
        plan = replace(make_completion().plan, repeatable=False)
        tries = (Try('r0', 'x', 0, 1), Try('r1', 'y', 1, 2, 200, 'yes'))
        record = make_completion(plan=plan, tries=tries)
        verdict = judge_record(record, parse_lines(engines.lines))
        self.assertIn('2 times', verdict.doubled[0])

    def test_refused_service_call_that_ran(self):
        record = make_service_call(Outcome.REFUSED_NOT_RUN, 'no')
        verdict = judge_record(record, Trace(calls=(make_call_line(),)))
        self.assertIn('r2 ran', verdict.false_refusals[0])

    def test_refused_service_call_that_ran_in_an_earlier_try(self):
        record = make_service_call(Outcome.REFUSED_NOT_RUN, 'no')
        verdict = judge_record(record, Trace(calls=(make_call_line('r1'),)))
        self.assertIn('its last answer', verdict.false_refusals[0])

    def test_refused_completion_that_ran(self):
        engines = TracedEngines()
        engines.run('a', (0, 1), 0, (1,))
        tries = (Try('r1', 'x', 0, 1, 503, 'no'),)
        record = make_completion(
            outcome=Outcome.REFUSED_NOT_RUN, answer='', tries=tries
        )
        verdict = judge_record(record, parse_lines(engines.lines))
        self.assertEqual(len(verdict.false_refusals), 1)


class TestScenarios(TestCase):
    """
    Guards against settings in force too late and faults without effect that go
    unnoticed.
    """

    def judge_observations(self, **fields):
        observations = Observations(**fields)
        return judge(Evidence((), Trace(), {'model': LAYERS}, observations))

    def test_settings_in_force_in_time_are_clean(self):
        verdict = self.judge_observations(
            config_in_force_s=1.5, config_within_s=9
        )
        self.assertTrue(verdict.is_clean, verdict)

    def test_settings_in_force_too_late(self):
        verdict = self.judge_observations(
            config_in_force_s=9.5, config_within_s=9
        )
        self.assertIn('9.5 s', verdict.late_settings[0])
        self.assertFalse(verdict.is_clean)

    def test_settings_never_in_force_on_some_router(self):
        verdict = self.judge_observations(config_within_s=9)
        self.assertIn('never', verdict.late_settings[0])

    def test_settings_without_a_limit_are_clean(self):
        self.assertTrue(self.judge_observations(config_in_force_s=20).is_clean)

    def test_fault_that_affected_no_request(self):
        verdict = self.judge_observations(
            fault_counts={'e1 slow_link': 0, 'log outage': 3}
        )
        self.assertEqual(verdict.idle_faults, ('e1 slow_link struck nothing',))
        self.assertFalse(verdict.is_clean)

    def test_results_swapped_within_a_stream(self):
        engines = TracedEngines()
        run_completion(engines)
        other = expected_answer(b'tudung', LAYERS, TOKENS).decode()
        mixed = make_completion(answer=ANSWER[0] + other[1:])
        verdict = judge_record(mixed, parse_lines(engines.lines))
        self.assertEqual(len(verdict.layer_violations), 1)

    def test_each_promise_makes_a_verdict_unclean(self):
        for name in PROMISES:
            self.assertFalse(Verdict(**{name: ('broken',)}).is_clean, name)
