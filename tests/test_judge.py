"""
The judge catches each broken promise in a bad trace.
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
    Engines that run one stream and write down what they did.
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


def run_completion(line, last='b'):
    """
    Run the prompt and all tokens; `last` names the second stage's engine.
    """
    inputs, token = tuple(PROMPT.encode()), 0
    for _ in range(TOKENS):
        hidden = line.run('a', (0, 1), token, inputs)
        following = line.run(last, (2, 3), token, hidden)
        token += len(inputs)
        inputs = following


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


def make_lookup(outcome=Outcome.COMPLETED, ran='yes', **fields):
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
        self.line = TracedEngines()

    def assert_violation(self, text, record=None):
        verdict = judge_record(
            record or make_completion(), parse_lines(self.line.lines)
        )
        self.assertEqual(len(verdict.layer_violations), 1, verdict)
        self.assertIn(text, verdict.layer_violations[0])

    def test_whole_run_is_clean(self):
        run_completion(self.line)
        verdict = judge_record(make_completion(), parse_lines(self.line.lines))
        self.assertTrue(verdict.is_clean, verdict)

    def test_moved_state_is_clean(self):
        hidden = self.line.run('a', (0, 1), 0, tuple(PROMPT.encode()))
        following = self.line.run('b', (2, 3), 0, hidden)
        self.line.move('b', 'c', range(2, 4))
        for token in (3, 4):
            hidden = self.line.run('a', (0, 1), token, following)
            following = self.line.run('c', (2, 3), token, hidden)
        verdict = judge_record(make_completion(), parse_lines(self.line.lines))
        self.assertTrue(verdict.is_clean, verdict)

    def test_state_built_again_from_kept_inputs_is_clean(self):
        run_completion(self.line)
        first = tuple(PROMPT.encode()) + tuple(ANSWER[:2].encode())
        scratch = TracedEngines()
        hidden = scratch.run('a', (0, 1), 0, first)
        kept = [line for line in self.line.lines if line['target'] == 'a']
        self.line.lines = kept
        self.line.run('c', (2, 3), 0, hidden, attempt=2)
        verdict = judge_record(make_completion(), parse_lines(self.line.lines))
        self.assertTrue(verdict.is_clean, verdict)

    def test_doubled_token(self):
        run_completion(self.line)
        doubled = dict(self.line.lines[2])
        self.line.lines.insert(3, doubled)
        self.assert_violation('twice')

    def test_skipped_token(self):
        run_completion(self.line)
        self.line.lines.pop(2)
        self.assert_violation('skipped')

    def test_import_that_lacks_a_token(self):
        self.test_moved_state_is_clean()
        first = next(line for line in self.line.lines if line['target'] == 'b')
        self.line.lines.remove(first)
        self.assert_violation('ran 0 tokens')

    def test_skipped_layer(self):
        run_completion(self.line)
        for line in self.line.lines:
            if line['target'] == 'b':
                line['first_layer'] = 3
        self.assert_violation('no step gave layer 3')

    def test_stage_fed_with_another_steps_output(self):
        run_completion(self.line)
        self.line.lines[-1]['input'] = '17'
        self.assert_violation('no step gave layer 2')

    def test_token_that_no_step_gave(self):
        run_completion(self.line)
        self.line.lines.pop()
        self.assert_violation('no step gave token')

    def test_wrong_text(self):
        run_completion(self.line)
        self.assert_violation(
            'another text', make_completion(answer=f'{ANSWER[:-1]}#')
        )

    def test_wrong_text_of_a_broken_stream(self):
        broken = make_completion(answer='#', outcome=Outcome.UNKNOWN)
        self.assert_violation('another text', broken)


class TestAnswers(TestCase):
    def setUp(self):
        line = TracedEngines()
        run_completion(line)
        self.trace = parse_lines(line.lines)

    def test_answer_that_ends_too_early(self):
        short = make_completion(answer=ANSWER[:2], told_tokens=2)
        self.assertIn('ends after 2', judge_record(short, self.trace).lost[0])

    def test_answer_that_lacks_a_piece(self):
        short = make_completion(answer=ANSWER[:2])
        self.assertIn('says 3', judge_record(short, self.trace).lost[0])

    def test_call_without_an_end(self):
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
        record = make_lookup(
            answer=json.dumps({'service': 'stock', 'body': {'call': 9}})
        )
        verdict = judge_record(record, Trace(calls=(make_call_line(),)))
        self.assertEqual(len(verdict.crossed), 1)

    def test_own_service_answer_is_clean(self):
        verdict = judge_record(make_lookup(), Trace(calls=(make_call_line(),)))
        self.assertTrue(verdict.is_clean, verdict)


class TestExecutions(TestCase):
    def test_doubled_lookup(self):
        trace = Trace(calls=(make_call_line('r2'), make_call_line('r3')))
        self.assertIn('2 times', judge_record(make_lookup(), trace).doubled[0])

    def test_doubled_completion(self):
        line = TracedEngines()
        run_completion(line)
        line.run('a', (0, 1), 0, (1,), stream='r0')
        plan = replace(make_completion().plan, repeatable=False)
        tries = (Try('r0', 'x', 0, 1), Try('r1', 'y', 1, 2, 200, 'yes'))
        record = make_completion(plan=plan, tries=tries)
        verdict = judge_record(record, parse_lines(line.lines))
        self.assertIn('2 times', verdict.doubled[0])

    def test_refused_lookup_that_ran(self):
        record = make_lookup(Outcome.REFUSED_NOT_RUN, 'no')
        verdict = judge_record(record, Trace(calls=(make_call_line(),)))
        self.assertIn('r2 ran', verdict.false_refusals[0])

    def test_refused_lookup_that_ran_in_an_earlier_try(self):
        record = make_lookup(Outcome.REFUSED_NOT_RUN, 'no')
        verdict = judge_record(record, Trace(calls=(make_call_line('r1'),)))
        self.assertIn('its last answer', verdict.false_refusals[0])

    def test_refused_completion_that_ran(self):
        line = TracedEngines()
        line.run('a', (0, 1), 0, (1,))
        tries = (Try('r1', 'x', 0, 1, 503, 'no'),)
        record = make_completion(
            outcome=Outcome.REFUSED_NOT_RUN, answer='', tries=tries
        )
        verdict = judge_record(record, parse_lines(line.lines))
        self.assertEqual(len(verdict.false_refusals), 1)


class TestScenarios(TestCase):
    """
    What a scenario demands besides the promises to callers.
    """

    def judge_observations(self, **observed):
        seen = Observations(**observed)
        return judge(Evidence((), Trace(), {'model': LAYERS}, seen))

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

    def test_settings_that_some_router_never_had(self):
        verdict = self.judge_observations(config_within_s=9)
        self.assertIn('never', verdict.late_settings[0])

    def test_settings_that_no_scenario_times_are_clean(self):
        self.assertTrue(self.judge_observations(config_in_force_s=20).is_clean)

    def test_fault_that_struck_nothing(self):
        verdict = self.judge_observations(
            fault_counts={'e1 slow_link': 0, 'log outage': 3}
        )
        self.assertEqual(verdict.idle_faults, ('e1 slow_link struck nothing',))
        self.assertFalse(verdict.is_clean)

    def test_results_that_were_crossed_inside_a_stream(self):
        line = TracedEngines()
        run_completion(line)
        other = expected_answer(b'tudung', LAYERS, TOKENS).decode()
        mixed = make_completion(answer=ANSWER[0] + other[1:])
        verdict = judge_record(mixed, parse_lines(line.lines))
        self.assertEqual(len(verdict.layer_violations), 1)

    def test_each_promise_counts(self):
        for name in PROMISES:
            self.assertFalse(Verdict(**{name: ('broken',)}).is_clean, name)
