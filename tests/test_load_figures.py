"""
Guards against wrong figures of a run, and against wrong outcomes and plans of
calls.
"""

from dataclasses import replace
from unittest import TestCase

from mallowcrank.load.callers import Planner, decide_outcome
from mallowcrank.load.figures import (
    Window,
    branch_shares,
    first_token_seconds,
    leaving_to_last_work_seconds,
    recovery_seconds,
    throughput,
)
from mallowcrank.load.latency import percentiles_ms
from mallowcrank.load.records import (
    CallKind,
    CallRecord,
    Outcome,
    Plan,
    Try,
)
from mallowcrank.load.scenarios import SCENARIOS
from mallowcrank.load.sse import EventReader
from mallowcrank.load.trace import parse_lines, read_lines

CHUNK = b'data: {"choices": [{"text": "%s", "finish_reason": null}]}\n\n'
LAST = (
    b'data: {"choices": [{"text": "", "finish_reason": "length"}]}\n\n'
    b'data: {"choices": [], "usage": {"completion_tokens": 4}}\n\n'
)


def make_record(*times, branch='topi', started=0, ended=10, **fields):
    plan = Plan(1, CallKind.COMPLETION, f'{branch}/x', 'model', 'hat')
    record = CallRecord(
        plan,
        Outcome.COMPLETED,
        started,
        ended,
        token_times=tuple((received, 1) for received in times),
    )
    return replace(record, **fields)


class TestFigures(TestCase):
    def test_throughput_counts_complete_answers_inside_the_window(self):
        records = (
            make_record(1, 2, 3),
            make_record(2, 3, outcome=Outcome.UNKNOWN),
            make_record(2, 9, branch='rail'),
        )
        window = Window(2, 4)
        self.assertEqual(throughput(records, window), 1.5)
        self.assertEqual(
            branch_shares(records, window), {'rail': 0.3333, 'topi': 0.6667}
        )

    def test_first_token_is_timed_from_the_first_try(self):
        self.assertEqual(
            first_token_seconds([make_record(5, 6, started=2)]), [3]
        )

    def test_recovery_is_the_longest_gap_across_the_fault(self):
        records = (
            make_record(1, 2, 5),
            make_record(1, 2, 3),
            make_record(7, started=6),
        )
        self.assertEqual(recovery_seconds(records, 2.5), 3)

    def test_recovery_of_a_restarted_stream(self):
        failed_try = Try('', 'x', 0, 2.1, problem='the stream broke')
        restarted = make_record(6, 7, tries=(failed_try, Try('r', 'y', 3, 8)))
        self.assertEqual(recovery_seconds([restarted], 2), 4)

    def test_recovery_counts_tokens_of_a_try_that_failed_later(self):
        failed_try = Try('', 'x', 0, 3.2, problem='the stream broke')
        restarted = make_record(
            3.5,
            4,
            broken_times=(1, 2.2, 3),
            tries=(failed_try, Try('r', 'y', 3.3, 8)),
        )
        self.assertAlmostEqual(recovery_seconds([restarted], 2), 1.2)

    def test_recovery_starts_at_the_last_token_before_the_fault(self):
        restarted = make_record(4, broken_times=(1,))
        self.assertEqual(recovery_seconds([restarted], 2), 3)

    def test_recovery_excludes_queued_calls(self):
        queued = make_record(6, 7, tries=(Try('r', 'x', 0, 8, 200, 'yes'),))
        self.assertEqual(recovery_seconds([queued, make_record(1, 3)], 2), 2)

    def test_recovery_of_a_call_without_an_answer(self):
        failed = make_record(1, 2, ended=8, outcome=Outcome.UNKNOWN)
        self.assertEqual(recovery_seconds([failed], 2), 6)

    def test_last_work_of_a_leaving_target(self):
        lines = [
            {'event': 'leaving', 'time': 10, 'target': 's1'},
            *(
                {
                    'event': 'call',
                    'time': time,
                    'target': target,
                    'request': 'r',
                    'key': '',
                    'body': '',
                }
                for time, target in ((9, 's1'), (11, 's1'), (15, 's2'))
            ),
        ]
        self.assertEqual(leaving_to_last_work_seconds(parse_lines(lines)), 1)

    def test_percentiles(self):
        percentiles = percentiles_ms(each / 1000 for each in range(1, 101))
        self.assertAlmostEqual(percentiles['p95'], 95, delta=0.1)

    def test_line_truncated_by_a_crash_is_ignored(self):
        self.assertEqual(len(read_lines('{"a": 1}\n{"a": ')), 1)


class TestAnswers(TestCase):
    def read(self, *received):
        reader = EventReader()
        for each in received:
            reader.feed(each, 1)
        return reader.streamed

    def test_stream_received_in_parts_is_complete(self):
        complete = b''.join((CHUNK % b'hat', LAST, b'data: [DONE]\n\n'))
        streamed = self.read(complete[:9], complete[9:], b'')
        self.assertTrue(streamed.is_complete)
        self.assertEqual((streamed.text, streamed.reported_tokens), ('hat', 4))

    def test_stream_without_the_final_event_is_incomplete(self):
        self.assertFalse(self.read(CHUNK % b'hat', LAST).is_complete)

    def test_error_event_says_whether_it_ran(self):
        error = b'data: {"error": {"ran": "yes", "code": "leaving"}}\n\n'
        self.assertEqual(self.read(error).error, ('yes', 'leaving'))

    def test_keepalive_is_ignored(self):
        self.assertEqual(self.read(b': waiting\n\n').text, '')


class TestOutcome(TestCase):
    def decide(self, *ran_values, repeatable=True):
        plan = replace(make_record().plan, repeatable=repeatable)
        tries = tuple(Try('r', 'x', 0, 1, 503, ran) for ran in ran_values)
        return decide_outcome(plan, tries, is_answered=False)

    def test_refused_in_all_tries(self):
        self.assertIs(self.decide('no', 'no'), Outcome.REFUSED_NOT_RUN)

    def test_an_earlier_try_may_have_run(self):
        self.assertIs(self.decide('', 'no'), Outcome.UNKNOWN)

    def test_last_answer_counts_for_a_key(self):
        outcome = self.decide('', 'no', repeatable=False)
        self.assertIs(outcome, Outcome.REFUSED_NOT_RUN)

    def test_call_without_an_answer_is_lost(self):
        self.assertIs(self.decide('no', ''), Outcome.LOST)
        self.assertIs(self.decide(), Outcome.LOST)


class TestPlans(TestCase):
    def test_same_seed_gives_the_same_calls(self):
        group = SCENARIOS['steady'].groups[0]
        first, second = (
            Planner(group, 'seed', lambda: 1).plan() for _ in range(2)
        )
        self.assertEqual(first, second)
