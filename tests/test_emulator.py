"""
Tests of the emulator: engines, routers and callers in virtual time.
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
from mallowcrank.emulator.site import FIVE_ZONES, RULE, THREE_ZONES, EngineSpec
from mallowcrank.gateway.targets import HeldLayers, Lifetime
from mallowcrank.status import ExitStatus

LIGHT_RATES_PER_S = MappingProxyType({'a': 3.0, 'b': 3.0, 'c': 3.0})
SHORT = Load('a few requests', LIGHT_RATES_PER_S, duration_s=6)


class TestEngines(TestCase):
    def setUp(self):
        self.env = Environment()
        self.events = []

    def engine(self, kind='a100', held=(0, 40)):
        spec = EngineSpec(Lifetime(f'{kind}-{held[0]}', 0), 'a', kind)
        engine = Engine(self.env, THREE_ZONES, spec)
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

    def test_first_event_follows_the_prefill(self):
        start_stream(
            self.stream([self.engine(), self.engine(held=(40, 80))]), 512
        )
        self.env.run(until=1)
        first_s = self.events[0][1]
        # Prefill of 1,000 tokens at 164 tokens/ms with a factor of 3.2, and
        # two hops.
        self.assertGreater(first_s, 1000 / 164_000 * 3.2)
        self.assertLess(first_s, 0.03)

    def test_event_gap_follows_the_accelerator_pace(self):
        start_stream(
            self.stream([self.engine(), self.engine(held=(40, 80))]), 512
        )
        self.env.run(until=1)
        gap_s = self.events[5][1] - self.events[4][1]
        steps_s = RULE.step_ms * 2.4 * 4 / 1000
        self.assertGreater(gap_s, steps_s)
        self.assertLess(gap_s, steps_s * 1.3)

    def test_slow_engine_slows_its_streams(self):
        engines = [self.engine(), self.engine(held=(40, 80))]
        engines[1].slow_factor = 5
        start_stream(self.stream(engines), 512)
        self.env.run(until=1)
        gap_s = self.events[5][1] - self.events[4][1]
        self.assertGreater(gap_s, RULE.step_ms * 2.4 * 4 / 1000 * 3)

    def test_newest_stream_is_preempted_and_restarted(self):
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

    def test_crashed_engine_emits_no_events(self):
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
    def test_release_frees_the_whole_allocation(self):
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
    def outcome(self, *events, complete=True):
        job = Job(1, 0, 'a', 700, len(events), 200)
        return Outcome(job, is_complete=complete, events=list(events))

    def test_late_paused_or_cut_response_is_not_on_time(self):
        self.assertTrue(is_on_time(self.outcome(0.5, 0.75)))
        self.assertFalse(is_on_time(self.outcome(0.51, 0.6)))
        self.assertFalse(is_on_time(self.outcome(0.1, 0.36)))
        self.assertFalse(is_on_time(self.outcome(0.1, complete=False)))

    def test_each_request_counts_in_one_outcome(self):
        refused = self.outcome(complete=False)
        refused.refused = True
        found = compute_figures(
            [
                self.outcome(0.1),
                self.outcome(0.9),
                self.outcome(0.1, complete=False),
                refused,
            ],
            preempted=0,
        )
        self.assertEqual(
            (found.in_aim, found.late, found.failed, found.refused),
            (0.25, 0.25, 0.25, 0.25),
        )


class TestLoads(TestCase):
    def test_same_seed_gives_the_same_requests(self):
        jobs = list(SHORT.jobs(Random(1), 4))
        self.assertEqual(jobs, list(SHORT.jobs(Random(1), 4)))
        self.assertNotEqual(jobs, list(SHORT.jobs(Random(2), 4)))

    def test_burst_raises_the_rate(self):
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
    def simulate(self, policy='product', load=SHORT, seed=1):
        return Run(THREE_ZONES, POLICIES[policy], load, seed).simulate()

    def test_light_load_is_served_on_time(self):
        found = self.simulate()
        self.assertEqual(found.in_aim, 1)
        self.assertEqual(found.preempted, 0)

    def test_same_seed_gives_the_same_figures(self):
        self.assertEqual(self.simulate(), self.simulate())

    def test_product_beats_nearest_path_when_engines_crash(self):
        load = replace(SHORT, faults=(EngineFault('dies', 3),))
        product = self.simulate(load=load)
        nearest = self.simulate('nearest', load=load)
        self.assertEqual(product.failed, 0)
        self.assertGreater(product.credit, nearest.credit)

    def test_every_policy_serves_a_light_load(self):
        for name in ('random', 'least-loaded', 'one-copy', 'tokens-75k'):
            with self.subTest(policy=name):
                found = self.simulate(name, replace(SHORT, duration_s=2))
                self.assertEqual(found.in_aim + found.late, 1)

    def test_many_routers_share_the_engines_of_their_zones(self):
        """
        Each router hears of the others' requests late. Where all choose the
        same paths meanwhile, memory is overcommitted and streams are cut.
        """
        load = Load(
            'calm',
            dict.fromkeys('abcde', 47.3),
            duration_s=5,
            mean_events=35,
            max_events=120,
        )
        found = Run(FIVE_ZONES, POLICIES['product'], load, 1).simulate()
        self.assertGreater(found.in_aim, 0.99)
        self.assertEqual(found.failed, 0)

    def test_layer_budget_leaves_memory_for_the_given_tokens(self):
        budget = reserve_tokens(64_000)
        for spec in THREE_ZONES.engine_specs():
            kind = RULE.kinds[spec.kind]
            count = budget(RULE, spec)
            free_mb = kind.size_mb - count * RULE.layer_mb
            tokens = free_mb * 1e6 / (RULE.token_bytes / RULE.layers) / count
            self.assertGreaterEqual(tokens, 64_000)

    def test_no_seeds_give_no_rows(self):
        experiment = Experiment(('product',), ('calm',), ())
        self.assertEqual(
            summarize_trials(tuple(experiment.run_trials(print))), []
        )

    def test_rows_hold_means_over_the_seeds(self):
        first = self.simulate(load=replace(SHORT, duration_s=2), seed=1)
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

    def test_names_option_lists_policies_and_loads(self):
        self.assertEqual(
            self.run_load('experiment', '--names'), ExitStatus.SUCCESS
        )
        text = self.environment.stdout.getvalue()
        for name in (*POLICIES, *LOADS):
            self.assertIn(name, text)

    def test_all_unknown_names_are_reported(self):
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

    def test_table_and_plot_are_written(self):
        with tempfile.TemporaryDirectory() as folder:
            table = Path(folder, 'table.json')
            plot = Path(folder, 'picture.png')
            status = self.run_load(
                'experiment',
                '--policies',
                'product',
                '--loads',
                'calm',
                '--json',
                str(table),
                '--plot',
                str(plot),
            )
            self.assertEqual(status, ExitStatus.SUCCESS)
            rows = json.loads(table.read_text(encoding='utf-8'))
            self.assertEqual(rows[0]['policy'], 'product')
            self.assertGreater(plot.stat().st_size, 1000)
        self.assertIn('event_ms', self.environment.stdout.getvalue())
