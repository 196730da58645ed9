"""
The emulator: engines, routers and callers in virtual time.
"""

import io
import json
import tempfile
from dataclasses import replace
from pathlib import Path
from random import Random
from types import MappingProxyType
from unittest import TestCase

from simpy import Environment

from mallowcrank.chains.paths import PathSegment
from mallowcrank.cli.load import app
from mallowcrank.context import Environment as ProgramEnvironment
from mallowcrank.core import main
from mallowcrank.emulator.engines import (
    EmulatedStream,
    Engine,
    find_blocking_engine,
    start_stream,
    stop_stream,
)
from mallowcrank.emulator.experiment import Experiment, Trial, summarize_trials
from mallowcrank.emulator.figures import compute_figures, is_on_time
from mallowcrank.emulator.load import LOADS, EngineFault, Job, Load
from mallowcrank.emulator.memory import Memory
from mallowcrank.emulator.policies import POLICIES, reserve_tokens
from mallowcrank.emulator.routers import Outcome
from mallowcrank.emulator.run import Run
from mallowcrank.emulator.site import RULE, THREE_ZONES, EngineSpec
from mallowcrank.gateway.targets import HeldLayers, Lifetime
from mallowcrank.status import ExitStatus

FEW = MappingProxyType({'a': 3.0, 'b': 3.0, 'c': 3.0})
SHORT = Load('a few requests', FEW, duration_s=6)


class TestEngines(TestCase):
    def setUp(self):
        self.env = Environment()
        self.events = []

    def engine(self, kind='a100', held=(0, 40)):
        card = EngineSpec(Lifetime(f'{kind}-{held[0]}', 0), 'a', kind)
        engine = Engine(self.env, THREE_ZONES, card)
        engine.set_layers(HeldLayers(*held, 0))
        return engine

    def stream(self, engines, tokens=1000, order=1):
        stream = EmulatedStream(
            sequence_number=order,
            path_segments=tuple(
                PathSegment(
                    each.spec.lifetime,
                    each.held_layers.first,
                    each.held_layers.end,
                )
                for each in engines
            ),
            engines=tuple(engines),
            tokens=tokens,
            on_event=lambda: self.events.append((order, self.env.now)),
            on_abort=lambda: None,
        )
        return stream

    def test_a_prompt_is_read_before_the_first_event(self):
        start_stream(
            self.stream([self.engine(), self.engine(held=(40, 80))]), 512
        )
        self.env.run(until=1)
        first_s = self.events[0][1]
        # 1,000 tokens at 164 a ms and a factor of 3.2, and two hops.
        self.assertGreater(first_s, 1000 / 164_000 * 3.2)
        self.assertLess(first_s, 0.03)

    def test_events_come_at_the_pace_of_the_cards(self):
        start_stream(
            self.stream([self.engine(), self.engine(held=(40, 80))]), 512
        )
        self.env.run(until=1)
        pause_s = self.events[5][1] - self.events[4][1]
        steps_s = RULE.step_ms * 2.4 * 4 / 1000
        self.assertGreater(pause_s, steps_s)
        self.assertLess(pause_s, steps_s * 1.3)

    def test_a_slow_engine_slows_its_streams(self):
        engines = [self.engine(), self.engine(held=(40, 80))]
        engines[1].slow_factor = 5
        start_stream(self.stream(engines), 512)
        self.env.run(until=1)
        pause_s = self.events[5][1] - self.events[4][1]
        self.assertGreater(pause_s, RULE.step_ms * 2.4 * 4 / 1000 * 3)

    def test_the_newest_stream_goes_when_memory_ends_and_comes_back(self):
        engine = self.engine(held=(0, 80))
        engine.memory.size = 80 * 2010
        old = self.stream([engine], 1000, order=1)
        new = self.stream([engine], 1000, order=2)
        start_stream(old, 512)
        start_stream(new, 512)
        self.env.run(until=0.2)
        self.assertEqual(engine.preemptions, 1)
        self.assertEqual(engine.memory.owners, (old,))
        old.is_over = True
        stop_stream(old)
        self.assertEqual(engine.memory.owners, (new,))

    def test_a_dead_engine_gives_nothing_more(self):
        engines = [self.engine(), self.engine(held=(40, 80))]
        stream = self.stream(engines)
        start_stream(stream, 512)
        self.env.run(until=0.1)
        engines[1].crash()
        count = len(self.events)
        self.env.run(until=1)
        self.assertEqual(len(self.events), count)
        self.assertIs(find_blocking_engine(stream), engines[1])


class TestMemory(TestCase):
    def test_what_is_given_back_is_what_was_taken(self):
        memory = Memory()
        memory.size = 10
        memory.allocate('one', 4)
        memory.allocate('one', 3)
        memory.allocate('two', 5)
        self.assertEqual(memory.free, -2)
        memory.release('one')
        memory.release('one')
        self.assertEqual(memory.free, 5)
        self.assertEqual(memory.owners, ('two',))


class TestFigures(TestCase):
    def outcome(self, *events, whole=True):
        job = Job(1, 0, 'a', 700, len(events), 200)
        return Outcome(job, is_complete=whole, events=list(events))

    def test_a_late_first_event_a_pause_and_a_cut_are_not_on_time(self):
        self.assertTrue(is_on_time(self.outcome(0.5, 0.75)))
        self.assertFalse(is_on_time(self.outcome(0.51, 0.6)))
        self.assertFalse(is_on_time(self.outcome(0.1, 0.36)))
        self.assertFalse(is_on_time(self.outcome(0.1, whole=False)))

    def test_each_request_ends_in_one_way(self):
        refused = self.outcome(whole=False)
        refused.refused = True
        found = compute_figures(
            [
                self.outcome(0.1),
                self.outcome(0.9),
                self.outcome(0.1, whole=False),
                refused,
            ],
            preempted=0,
        )
        self.assertEqual(
            (found.in_aim, found.late, found.failed, found.refused),
            (0.25, 0.25, 0.25, 0.25),
        )


class TestLoads(TestCase):
    def test_a_seed_always_gives_the_same_requests(self):
        jobs = list(SHORT.jobs(Random(1), 4))
        self.assertEqual(jobs, list(SHORT.jobs(Random(1), 4)))
        self.assertNotEqual(jobs, list(SHORT.jobs(Random(2), 4)))

    def test_a_burst_raises_the_rate(self):
        load = replace(
            SHORT,
            duration_s=40,
            burst_factor=4,
            burst_start_s=10,
            burst_duration_s=20,
        )
        jobs = list(load.jobs(Random(1), 4))
        inside = [each for each in jobs if 10 <= each.arrival_s < 30]
        self.assertGreater(len(inside), 2 * len(jobs) / 3)


class TestRuns(TestCase):
    def play(self, policy='product', load=SHORT, seed=1):
        return Run(THREE_ZONES, POLICIES[policy], load, seed).simulate()

    def test_a_light_load_is_served_whole_and_on_time(self):
        found = self.play()
        self.assertEqual(found.in_aim, 1)
        self.assertEqual(found.preempted, 0)

    def test_a_seed_repeats(self):
        self.assertEqual(self.play(), self.play())

    def test_the_product_beats_the_nearest_path_where_engines_die(self):
        load = replace(SHORT, faults=(EngineFault('dies', 3),))
        product = self.play(load=load)
        nearest = self.play('nearest', load=load)
        self.assertEqual(product.failed, 0)
        self.assertGreater(product.credit, nearest.credit)

    def test_every_policy_serves_a_light_load(self):
        for name in ('random', 'least-loaded', 'one-copy', 'tokens-75k'):
            with self.subTest(policy=name):
                found = self.play(name, replace(SHORT, duration_s=2))
                self.assertEqual(found.in_aim + found.late, 1)

    def test_a_card_keeps_memory_for_the_tokens_asked_for(self):
        usual = reserve_tokens(64_000)
        for card in THREE_ZONES.engine_specs():
            kind = RULE.kinds[card.kind]
            count = usual(RULE, card)
            free_mb = kind.size_mb - count * RULE.layer_mb
            tokens = free_mb * 1e6 / (RULE.token_bytes / RULE.layers) / count
            self.assertGreaterEqual(tokens, 64_000)

    def test_no_seeds_give_no_rows(self):
        planned = Experiment(('product',), ('calm',), ())
        self.assertEqual(summarize_trials(tuple(planned.run_trials(print))), [])

    def test_means_are_taken_over_the_seeds(self):
        first = self.play(load=replace(SHORT, duration_s=2), seed=1)
        second = replace(first, credit=first.credit - 0.5, event_ms=10)
        rows = summarize_trials(
            [
                Trial('calm', 'product', 1, first),
                Trial('calm', 'product', 2, second),
                Trial('calm', 'random', 1, second),
            ]
        )
        policies = [row['policy'] for row in rows]
        self.assertEqual(policies, ['product', 'random'])
        self.assertAlmostEqual(rows[0]['credit'], first.credit - 0.25, 3)
        self.assertEqual(rows[1]['event_ms'], 10)


class TestCommand(TestCase):
    def setUp(self):
        self.environment = ProgramEnvironment(
            stdout=io.StringIO(), stderr=io.StringIO()
        )

    def run_load(self, *words):
        return main(app, 'mallowcrank-load', words, self.environment)

    def test_names_are_listed(self):
        self.assertEqual(
            self.run_load('experiment', '--names'), ExitStatus.SUCCESS
        )
        text = self.environment.stdout.getvalue()
        for name in (*POLICIES, *LOADS):
            self.assertIn(name, text)

    def test_unknown_names_are_all_reported(self):
        status = self.run_load(
            'experiment',
            '--policies',
            'best',
            '--loads',
            'none',
            '--seeds',
            '0',
        )
        self.assertEqual(status, ExitStatus.BAD_SETTINGS)
        text = self.environment.stderr.getvalue()
        for flag in ('--policies', '--loads', '--seeds'):
            self.assertIn(flag, text)

    def test_a_table_and_a_picture_are_written(self):
        with tempfile.TemporaryDirectory() as folder:
            table = Path(folder, 'table.json')
            picture = Path(folder, 'picture.png')
            status = self.run_load(
                'experiment',
                '--policies',
                'product',
                '--loads',
                'calm',
                '--json',
                str(table),
                '--plot',
                str(picture),
            )
            self.assertEqual(status, ExitStatus.SUCCESS)
            rows = json.loads(table.read_text(encoding='utf-8'))
            self.assertEqual(rows[0]['policy'], 'product')
            self.assertGreater(picture.stat().st_size, 1000)
        self.assertIn('event_ms', self.environment.stdout.getvalue())
