"""
Benchmarks of single decisions at several fleet sizes, up to the full size.
"""

import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random
from statistics import median

from mallowcrank.agent.changes import find_changes
from mallowcrank.changes import ViewChanges
from mallowcrank.clock import SystemClock
from mallowcrank.policy.admission_controller import AdmissionController
from mallowcrank.policy.routes import RoutePolicy
from mallowcrank.policy.settings import PolicySettings
from mallowcrank.requests.key_ownership import RouterId
from mallowcrank.router.folding import fold_change
from mallowcrank.router.ports import RouteDemand, Ticket
from mallowcrank.router.view_store import ViewStore
from mallowcrank.routing.bound import BoundEngine, throughput_bound
from mallowcrank.routing.placement import AcceleratorClass, Links, split_layers
from mallowcrank.settings import HostSettings, RouterSettings
from mallowcrank.view import (
    MAX_DEMANDS,
    ModelSettings,
    Peer,
    Target,
    TargetKind,
    View,
    WorkspaceSettings,
)
from mallowcrank.wire import KeyRing
from scripts.trials.strategy_trial import percentile

MODELS = 17
ZONES = 28
STEP_TIMES_MS = (4, 6, 8, 12, 16, 24, 40)  # of the accelerator classes
LAYERS = 64
STAGES = 2  # of a replica, one accelerator each
REPEATS = 300
HOSTS = 380
FULL_REPLICAS = 4100
FULL_WORKSPACES = 6100
MICROSECONDS_PER_S = 1e6
BUSY_REQUESTS = 22  # 7.1 a second, over the 3 s that demand covers
UNLIMITED_RATE = 1e6  # requests a second; no limit ends a decision early


@dataclass(frozen=True)
class DecisionFigures:
    """
    Duration and memory of one decision.

    :param part: fleet size as a fraction of the full size.
    :param median_us: median duration in microseconds.
    :param p99_us: 99th percentile of the duration in microseconds.
    :param state_kb: memory of the state that it keeps, in KiB.
    """

    decision: str
    part: float
    median_us: float
    p99_us: float
    state_kb: float


def bench_online(part: float) -> list[DecisionFigures]:
    """
    Time each decision that is made while requests run.

    :param part: fleet size as a fraction of the full size.
    """
    view = full_view(part)
    return [
        *_bench_fold(view, part),
        *_bench_routes(view, part),
        *_bench_admission(view, part),
    ]


def full_view(part: float) -> View:
    """
    Return a view of a fleet.

    :param part: fleet size as a fraction of the full size.
    """
    targets = {
        target.name: target
        for number in range(round(FULL_REPLICAS * part))
        for target in _replica(number)
    }
    workspaces = [
        WorkspaceSettings(
            f'b{number % 60}/w{number}',
            f'b{number % 60}',
            request_rate=UNLIMITED_RATE,
        )
        for number in range(round(FULL_WORKSPACES * part))
    ]
    peers = [
        Peer(
            f'r{number}',
            '',
            f'z{number % ZONES}',
            '1',
            demand=_demand([each.name for each in workspaces], number),
        )
        for number in range(round(HOSTS * part))
    ]
    return View(
        version=1,
        targets=targets,
        models={
            f'm{number}': ModelSettings(f'm{number}', LAYERS)
            for number in range(MODELS)
        },
        workspaces={each.name: each for each in workspaces},
        peers={each.name: each for each in peers},
    )


def _replica(number: int) -> list[Target]:
    size = LAYERS // STAGES
    return [
        Target(
            name=f'e{number}.{stage}',
            kind=TargetKind.ENGINE,
            address=f'10.{number // 250}.{number % 250}.{stage}:9100',
            availability_zone=f'z{number % ZONES}',
            serves=f'm{number % MODELS}',
            first_layer=stage * size,
            last_layer=stage * size + size - 1,
            step_ms=STEP_TIMES_MS[number // MODELS % len(STEP_TIMES_MS)],
        )
        for stage in range(STAGES)
    ]


def _bench_fold(view: View, part: float) -> list[DecisionFigures]:
    messages = [
        find_changes(view, _with_new_loads(view, number))
        for number in range(10)
    ]
    next_messages = iter(messages)
    known = ViewStore(RouterId('r0', '1'), SystemClock())
    known.apply(view)
    changes = _changed_names(view, 0)
    timed = [
        ('fold, 1% new', lambda: fold_change(view, next(next_messages)), 10),
        ('known, 1% new', lambda: known.apply(view, changes), 10),
    ]
    return [_time_decision(each[0], part, *each[1:], 0) for each in timed]


def _bench_routes(view: View, part: float) -> list[DecisionFigures]:
    tracemalloc.start()
    routes = RoutePolicy(_settings())
    routes.apply_view(view)
    state_kb = tracemalloc.get_traced_memory()[0] / 1024
    tracemalloc.stop()
    prefix = tuple(f'{block:016x}' for block in range(16))
    plain = RouteDemand('s', 'b0/w0', 'm0', prompt_tokens=256)
    cached = replace(plain, prefix=prefix)
    failed = replace(plain, avoid=frozenset(('e0.0', 'e17.1')))
    next_views = iter(
        [
            (_with_new_loads(view, number), _changed_names(view, number))
            for number in range(10)
        ]
    )
    timed = [
        ('path', lambda: routes.choose_path(plain), REPEATS),
        ('path, prefix', lambda: routes.choose_path(cached), REPEATS),
        ('path, failed', lambda: routes.choose_path(failed), REPEATS),
        ('answered', lambda: routes.record_success('e0.0', 0.01), REPEATS),
        ('view, 1% new', lambda: routes.apply_view(*next(next_views)), 10),
    ]
    return [
        _time_decision(each[0], part, *each[1:], state_kb) for each in timed
    ]


def _with_new_loads(view: View, number: int) -> View:
    targets = dict(view.targets)
    for index, (name, target) in enumerate(view.targets.items()):
        if index % 100 == number:
            targets[name] = replace(target, load=number + 1)
    return replace(view, targets=targets)


def _changed_names(view: View, number: int) -> ViewChanges:
    """
    Return changes of 1% of the targets and of 1 in 20 peers.

    The agents' byte limit lets the demand of so many peers through in a
    second.
    """
    return ViewChanges(
        targets=frozenset(tuple(view.targets)[number::100]),
        peers=frozenset(tuple(view.peers)[number::20]),
    )


def _bench_admission(view: View, part: float) -> list[DecisionFigures]:
    tracemalloc.start()
    admission = AdmissionController(100000, 'r0', lambda _: 1)
    admission.apply_view(view, 0)
    names = list(view.workspaces)
    random = Random(1)
    for number, name in enumerate(names):
        ticket = Ticket(f'warm{number}', name, 1e9, 0, 64, f'm{number % 17}')
        list(admission.arrive(ticket, 1))
        list(admission.leave(ticket, 64, 1.5))
    state_kb = tracemalloc.get_traced_memory()[0] / 1024
    tracemalloc.stop()

    next_changes = iter(
        [_admission_change(view, names, each) for each in range(10)]
    )

    numbers = iter(range(REPEATS))

    def admit() -> None:
        ticket = Ticket('t', random.choice(names), 1e9, 0, 64, 'm0')
        list(admission.arrive(ticket, 3))
        list(admission.leave(ticket, 64, 3.1))

    timed = [
        ('admit, leave', admit, REPEATS),
        ('report, all', lambda: admission.ledger.report(5), 5),
        (
            '22 and report',
            lambda: _report_busy(admission, names, next(numbers)),
            20,
        ),
        ('desk view', lambda: admission.apply_view(*next(next_changes)), 10),
    ]
    return [
        _time_decision(each[0], part, *each[1:], state_kb) for each in timed
    ]


def _report_busy(
    admission: AdmissionController, names: list[str], number: int
) -> None:
    """
    Report demand after a host's share of the last seconds' requests.
    """
    now = 10 + 10 * number
    for each in range(BUSY_REQUESTS):
        ticket = Ticket(f'{number}.{each}', names[each], 1e9, 0, 64, 'm0')
        list(admission.arrive(ticket, now))
        list(admission.leave(ticket, 64, now))
    admission.ledger.report(now + 1)


def _admission_change(
    view: View, names: list[str], number: int
) -> tuple[View, float, ViewChanges]:
    changed = _with_new_demands(view, names, number)
    return changed, 6, _changed_names(view, number)


def _with_new_demands(view: View, names: list[str], number: int) -> View:
    """
    Return a view with other loads and with other demands of the peers.
    """
    peers = {
        name: replace(peer, demand=_demand(names, index + number))
        for index, (name, peer) in enumerate(view.peers.items())
    }
    return replace(_with_new_loads(view, number), peers=peers)


def _demand(names: list[str], start: int) -> dict[str, float]:
    return {
        names[(start * 7 + each) % len(names)]: 0.02
        for each in range(MAX_DEMANDS)
    }


def bench_offline(layers: int) -> list[DecisionFigures]:
    """
    Time decisions that are not made for each request.

    :param layers: number of layers of the model.
    """
    engines = [
        BoundEngine(f'e{number}', first, first + layers // 2 - 1, 8, 16, 1)
        for number in range(241)
        for first in (0, layers // 2)
    ]
    classes = [
        AcceleratorClass(f'k{number}', f'z{number % 3}', 2, ms / 16, 12)
        for number, ms in enumerate(STEP_TIMES_MS)
    ]
    links = Links(0.1, {}, 10)
    part = layers / LAYERS
    return [
        _time_decision(
            'bound', part, lambda: throughput_bound(layers, engines), 3, 0
        ),
        _time_decision(
            'placement',
            part,
            lambda: split_layers(layers, classes, links),
            1,
            0,
        ),
    ]


def _settings() -> PolicySettings:
    router = RouterSettings(HostSettings('r0', 'z0'), '', '', '', KeyRing())
    return PolicySettings(router, SystemClock().steady, Random(1))


def _time_decision(
    name: str,
    part: float,
    decide: Callable[[], object],
    repeats: int,
    state_kb: float,
) -> DecisionFigures:
    durations_us: list[float] = []
    for _ in range(repeats):
        started = time.perf_counter()
        decide()
        durations_us.append(
            (time.perf_counter() - started) * MICROSECONDS_PER_S
        )
    return DecisionFigures(
        name,
        part,
        median(durations_us),
        percentile(durations_us, 0.99),
        state_kb,
    )
