"""
Tests the engine stand-in.

Guards against wrong answers of a split model, steps that run out of order or
after a cancellation, wrong batch durations, wrong cache events, and orders
that are accepted in spite of an outdated fence or expiry.
"""

from unittest import TestCase

from mallowcrank.ports import Step
from mallowcrank.standins.arithmetic import expected_answer
from mallowcrank.standins.batching import QueuedStep, batch_seconds, pick_batch
from mallowcrank.standins.kv import CANCELLED, REPEATED, KvStates
from mallowcrank.standins.orders import Order, check_order
from mallowcrank.standins.prefix_cache import PrefixCache, prefix_hashes
from mallowcrank.standins.settings import Fencing

HELD_LAYERS = (0, 3)


def step(token, *inputs, attempt=1, layers=HELD_LAYERS):
    return Step('s', attempt, token, len(inputs), *layers, inputs=inputs)


class TestKvStates(TestCase):
    def setUp(self):
        self.states = KvStates('e1')

    def run_prompt(self):
        return self.states.run(step(0, 104, 97, 116), 4, 0)

    def refusal(self, requested_step, held=HELD_LAYERS):
        return self.states.find_refusal(requested_step, held)

    def test_split_model_gives_the_expected_answer(self):
        second_half = KvStates('e2')
        inputs, token, answer = tuple(b'songkok'), 0, b''
        for _ in range(8):
            hidden, _state = self.states.run(
                step(token, *inputs, layers=(0, 1)), 4, 0
            )
            token_ids, _state = second_half.run(
                step(token, *hidden, layers=(2, 3)), 4, 0
            )
            token += len(inputs)
            inputs = token_ids
            answer += bytes(token_ids)
        self.assertEqual(answer, expected_answer(b'songkok', 4, 8))

    def test_only_the_next_token_is_accepted(self):
        self.run_prompt()
        self.assertEqual(self.refusal(step(3, 7)), '')
        self.assertEqual(self.refusal(step(2, 7)), REPEATED)
        self.assertIn('holds 3 tokens', self.refusal(step(4, 7)))

    def test_later_token_without_state_is_refused(self):
        self.assertIn('no such state', self.refusal(step(3, 7)))

    def test_layers_not_held_are_refused(self):
        self.assertIn('not held', self.refusal(step(0, 7), (1, 3)))

    def test_stream_continues_after_layer_range_changes(self):
        self.run_prompt()
        self.assertEqual(self.refusal(step(3, 7), (2, 3)), '')

    def test_cancelled_attempts_stay_refused(self):
        self.run_prompt()
        self.states.cancel('s', 2)
        self.assertEqual(self.refusal(step(0, 7)), CANCELLED)
        self.assertEqual(self.refusal(step(0, 7, attempt=2)), CANCELLED)
        self.assertEqual(self.refusal(step(0, 7, attempt=3)), '')

    def test_imported_state_continues_the_stream(self):
        outputs, _ = self.run_prompt()
        exported = self.states.export('s', 1, range(4))
        other = KvStates('e2')
        other.import_('s', 1, exported, 0)
        next_step = step(3, *outputs)
        self.assertEqual(
            other.run(next_step, 4, 0)[0], self.states.run(next_step, 4, 0)[0]
        )

    def test_import_does_not_overwrite_held_layers(self):
        self.run_prompt()
        exported = self.states.export('s', 1, range(4))
        self.assertIsNone(self.states.import_('s', 1, exported, 0))


class TestBatching(TestCase):
    def test_steps_of_higher_priority_join_first(self):
        waiting = [QueuedStep(number, number // 3, 1, 1) for number in range(4)]
        batch = pick_batch(waiting, slots=1)
        self.assertEqual([each.arrival_number for each in batch], [3, 0])

    def test_duration_grows_beyond_the_slots(self):
        batch = [QueuedStep(number, 0, 1, 1) for number in range(4)]
        self.assertEqual(batch_seconds(batch, 10, 4), 0.01)
        self.assertEqual(batch_seconds(batch, 10, 2), 0.02)

    def test_duration_depends_on_prompt_and_layer_share(self):
        prompt = [QueuedStep(1, 0, 17, 0.5)]
        self.assertEqual(batch_seconds(prompt, 10, 1), 0.01)


class TestPrefixCache(TestCase):
    def setUp(self):
        self.cache = PrefixCache(capacity=2, event_delay_s=1)
        self.prompt = tuple(range(32))

    def test_cached_prefix_is_published_after_delay(self):
        self.cache.store(self.prompt, now=0)
        self.assertEqual(self.cache.cached_tokens((*self.prompt[:16], 9)), 16)
        self.assertEqual(self.cache.events_from(0, now=0.5)[1], ())
        events = self.cache.events_from(0, now=1)[1]
        self.assertEqual(
            tuple(event.prefix for event in events), prefix_hashes(self.prompt)
        )

    def test_least_recently_used_block_is_evicted(self):
        self.cache.store(self.prompt, now=0)
        self.cache.store(tuple(range(50, 66)), now=0)
        self.assertEqual(self.cache.cached_tokens(self.prompt), 0)

    def test_dropped_event_leaves_a_number_gap(self):
        self.cache.drop_events(1)
        self.cache.store(self.prompt, now=0)
        events = self.cache.events_from(0, now=9)[1]
        self.assertEqual([event.number for event in events], [2])


class TestOrders(TestCase):
    def setUp(self):
        self.order = Order('o1', 5, 100, 'load', 'model')

    def test_old_fence_is_refused_only_with_fencing_checks(self):
        self.assertEqual(check_order(self.order, Fencing.CHECKS, 6, 0), 409)
        self.assertEqual(check_order(self.order, Fencing.IGNORES, 6, 0), 200)
        self.assertEqual(check_order(self.order, Fencing.CHECKS, 5, 0), 200)

    def test_expired_order_is_refused(self):
        self.assertEqual(
            check_order(self.order, Fencing.IGNORES, None, 100), 410
        )
