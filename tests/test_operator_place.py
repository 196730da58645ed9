"""
The operators' command `place`: parsing, plans and output.
"""

import json
import tempfile
from pathlib import Path
from unittest import TestCase

from mallowcrank.config.files import read_draft
from mallowcrank.operators.accelerators import read_fleet
from mallowcrank.routing.fleet_plan import (
    FleetPlan,
    bound_without,
    engine_names,
    plan_fleet,
)
from mallowcrank.status import ExitStatus
from tests.utils.operator_run import run_operator

EXAMPLES = Path('examples/accelerators')
SEVEN_LAYER_MS = (0.5, 0.8, 1, 1.5, 2, 3, 5)
HEAD = """
[model]
name = "m"
layers = 40
[links]
same_zone_ms = 0.1
default_ms = 10
"""
KIND = """
[accelerators.k{number}]
availability_zone = "{zone}"
count = 3
layer_ms = {layer_ms}
memory_layers = 12
"""


def fleet_of_seven_kinds():
    kinds = [
        KIND.format(number=number, zone='abc'[number % 3], layer_ms=layer_ms)
        for number, layer_ms in enumerate(SEVEN_LAYER_MS)
    ]
    return HEAD + ''.join(kinds)


def planned_layers(replica):
    return [
        layer
        for each in replica.engines
        for layer in range(each.held.first_layer, each.held.last_layer + 1)
    ]


class TestPlace(TestCase):
    def test_examples_survive_any_single_loss(self):
        for name in ('topi-seri', 'debroussaillage'):
            run = run_operator('place', f'{EXAMPLES}/{name}.toml', '--json')
            plan = json.loads(run.stdout)
            with self.subTest(name=name):
                self.assertEqual(run.status, ExitStatus.SUCCESS)
                self.assertGreater(len(plan['replicas']), 20)
                self.assertTrue(all(plan['after_loss'].values()))

    def test_seven_kinds_with_hundredfold_link_differences(self):
        plan = plan_fleet(read_fleet(fleet_of_seven_kinds(), 'f').spec)
        self.assertIsInstance(plan, FleetPlan)
        kinds = [each.kind for each in plan.replicas[0].engines]
        zones = [each.availability_zone for each in plan.replicas[0].engines]
        # Crossing zones takes longer than any stage may, so plans avoid it.
        self.assertLessEqual(len(set(zones)), 2)
        self.assertIn('k0', kinds)
        for replica in plan.replicas:
            self.assertEqual(planned_layers(replica), list(range(40)))
            for each in replica.engines:
                held = each.held
                size = held.held_last - held.held_first + 1
                self.assertLessEqual(size, held.memory_layers)

    def test_loss_of_the_only_holder_of_a_layer_leaves_no_path(self):
        text = HEAD + KIND.format(number=0, zone='a', layer_ms=1)
        text = text.replace('layers = 40', 'layers = 30', 1)
        plan = plan_fleet(read_fleet(text, 'f').spec)
        rates_after_loss = {
            name: bound_without(plan, name).tokens_per_s
            for name in engine_names(plan)
        }
        self.assertIn(0, rates_after_loss.values())
        covers = {
            each.name: each.has_cover for each in plan.replicas[0].engines
        }
        self.assertEqual(
            covers,
            {name: bool(rate) for name, rate in rates_after_loss.items()},
        )

    def test_settings_output_is_valid(self):
        example = f'{EXAMPLES}/topi-seri.toml'
        run = run_operator('place', example, '--settings')
        reading = read_draft(run.stdout, 'f')
        self.assertEqual(reading.findings, ())
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder, 'model.toml')
            file.write_text(run.stdout)
            checked = run_operator('validate', str(file))
        self.assertEqual(checked.status, ExitStatus.SUCCESS, checked.stderr)

    def test_all_findings_are_reported_with_their_location(self):
        text = HEAD.replace('40', '"x"') + KIND.format(
            number=0, zone='', layer_ms=-1
        )
        text = f'{text}speed = 3\n[[links.between]]\nfrom = "a"\nms = 1\n'
        locations = [each.place for each in read_fleet(text, 'f').findings]
        self.assertCountEqual(
            locations,
            (
                'f: model.layers',
                'f: accelerators.k0.availability_zone',
                'f: accelerators.k0.layer_ms',
                'f: accelerators.k0.speed',
                'f: links.between[1].to',
            ),
        )

    def test_impossible_plans_and_invalid_toml_fail(self):
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder, 'fleet.toml')
            file.write_text(HEAD + KIND.format(number=0, zone='a', layer_ms=1))
            self.assertEqual(
                run_operator('place', str(file)).status, ExitStatus.ERROR
            )
            file.write_text('[model')
            broken = run_operator('place', str(file))
            self.assertEqual(broken.status, ExitStatus.BAD_SETTINGS)
            self.assertIn('invalid TOML', broken.stderr)
