"""
Applying view changes must give the same state as building it from the view.
"""

from dataclasses import replace
from random import Random
from unittest import TestCase

from mallowcrank.agent.changes import find_changes
from mallowcrank.changes import compare_views, parse_changes
from mallowcrank.clock import FakeClock
from mallowcrank.limits.peers import PeerDemands
from mallowcrank.policy.pools import Pools
from mallowcrank.requests.key_ownership import RouterId
from mallowcrank.router.folding import fold_change
from mallowcrank.router.view_store import ViewStore
from mallowcrank.routing.costs import LinkTimes
from mallowcrank.routing.target_registry import TargetRegistry
from mallowcrank.view import (
    ModelSettings,
    Peer,
    Target,
    TargetKind,
    TargetState,
    View,
    WorkspaceSettings,
)

LAYERS = 8
NAMES = 12
STEPS = 60


class DerivedState:
    """
    The state that a router derives from its view.
    """

    def __init__(self):
        self.known = ViewStore(RouterId('r0', 'x'), FakeClock(0))
        self.book = TargetRegistry(LinkTimes(), 'a')
        self.pools = Pools('r0')
        self.peers = PeerDemands('r0')

    def apply(self, view, changes):
        self.known.apply(view, changes)
        self.book.apply(view.targets, changes.targets, 0)
        self.pools.apply_view(view, changes)
        self.peers.update_peers(view.peers, changes.peers)

    def state(self):
        index = self.book.index
        where = self.known.keeper_lookup_context(forwarded=False)
        demands = self.pools.read_peer_demands(0)
        return {
            'targets': dict(index.targets),
            'engines': {
                (model, place): sorted(names)
                for model in ('m0', 'm1')
                for place, names in index.ranges(model).items()
            },
            'replicas': sorted(index.replicas('s')),
            'peers': where.peers,
            'routers': where.history[-1].routers,
            'count': self.peers.routers,
            'sums': dict(demands.others),
            'own': dict(demands.own),
            'homes': [demands.is_home(f'b/w{each}') for each in range(9)],
            'bounds': [_rate(self.pools.bound(each)) for each in ('m0', 'm1')],
            'share': self.pools.share_of(WorkspaceSettings('b/w', 'b')),
        }


class TestViewChanges(TestCase):
    def test_random_changes_equal_a_rebuild(self):
        for seed in range(20):
            random = Random(seed)
            derived, view = DerivedState(), View()
            for step in range(STEPS):
                new_view = mutate(view, random)
                message = find_changes(view, new_view)
                view = fold_change(view, message)
                derived.apply(view, parse_changes(message))
                with self.subTest(seed=seed, step=step):
                    self.assertEqual(derived.state(), rebuild(view).state())

    def test_comparison_names_only_changed_entries(self):
        before = View(targets={'a': make_target('a'), 'b': make_target('b')})
        after = replace(before, targets={'b': before.targets['b']})
        changes = compare_views(before, after)
        self.assertEqual(changes.targets, {'a'})
        self.assertEqual((changes.peers, changes.models), (set(), set()))

    def test_slow_start_follows_a_restart_but_not_a_load_report(self):
        book = TargetRegistry(LinkTimes(), 'a')
        first = make_target('a')
        book.apply({'a': first}, ['a'], 0)
        book.apply({'a': replace(first, load=9)}, ['a'], 100)
        loaded = book.cost_inputs(first, 100).weight
        book.apply({'a': replace(first, incarnation=1)}, ['a'], 100)
        self.assertEqual(
            (loaded, book.cost_inputs(first, 100).weight), (1, 0.25)
        )

    def test_demand_sums_accumulate_no_rounding_errors(self):
        peers = PeerDemands('r0')
        for number in range(1000):
            demand = {'b/w': number / 997, 'b/v': 0.1}
            peers.update_peers(
                {'r1': Peer('r1', '', 'a', '1', demand=demand)}, ['r1']
            )
        peers.update_peers({}, ['r1'])
        self.assertEqual((dict(peers.sums), peers.routers), ({}, 1))


def rebuild(view):
    derived = DerivedState()
    derived.apply(view, compare_views(View(), view))
    return derived


def mutate(view, random):
    """
    Return a view with random changes of targets, peers and settings.
    """
    targets, peers = dict(view.targets), dict(view.peers)
    for _ in range(random.randint(0, 4)):
        name = f't{random.randrange(NAMES)}'
        targets[name] = mutate_target(
            targets.get(name) or make_target(name), random
        )
        if random.randrange(10) < 2:
            targets.pop(name)
    for _ in range(random.randint(0, 3)):
        name = f'r{random.randrange(6)}'
        peers[name] = random_peer(name, random)
        if random.randrange(10) < 3:
            peers.pop(name)
    models, workspaces = view.models, view.workspaces
    if random.randrange(10) < 3:
        model = ModelSettings('m0', random.choice((4, LAYERS)))
        models = random.choice(({}, {'m0': model}, {'m1': model, 'm0': model}))
        share = random.randint(1, 4)
        workspace = WorkspaceSettings('b/w', 'b', branch_share=share)
        workspaces = {'b/w': workspace}
    return View(
        version=view.version + 1,
        targets=targets,
        models=models,
        workspaces=workspaces,
        peers=peers,
    )


def mutate_target(target, random):
    """
    Return a target with one random change.
    """
    first = random.choice((0, 2, 4))
    return replace(
        target,
        **random.choice(
            (
                {'load': random.randrange(9)},
                {'first_layer': first, 'last_layer': first + 3},
                {'state': random.choice(tuple(TargetState))},
                {'serves': random.choice(('m0', 'm1'))},
                {'incarnation': target.incarnation + 1, 'address': '1'},
                {'step_ms': random.choice((4, 8))},
                {'kind': TargetKind.SERVICE, 'serves': 's'},
                {'kind': TargetKind.ENGINE, 'serves': 'm0'},
            )
        ),
    )


def random_peer(name, random):
    demand = {f'b/w{random.randrange(3)}': random.random() for _ in range(2)}
    leaving = random.randrange(10) < 2
    incarnation = str(random.randrange(2))
    zone = random.choice('ab')
    return Peer(name, '', zone, incarnation, leaving=leaving, demand=demand)


def make_target(name):
    return Target(name, TargetKind.ENGINE, '', 'a', 'm0', last_layer=3)


def _rate(bound):
    return round(bound.tokens_per_s, 6) if bound else None
