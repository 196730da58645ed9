"""
Measures the policies: trials in virtual time, and benchmarks of decisions.
"""

import time
from concurrent.futures import ProcessPoolExecutor
from dataclasses import astuple, fields

from typer import Typer, echo

from scripts.trials.decision_benchmarks import (
    DecisionFigures,
    bench_offline,
    bench_online,
)
from scripts.trials.fairness_trial import FairnessFigures, FairnessTrial
from scripts.trials.limits_at_size import LimitsAtSize, SizeFigures
from scripts.trials.limits_trial import LimitCase, LimitFigures, LimitsTrial
from scripts.trials.overload_trial import (
    LoadCase,
    LoadFigures,
    OverloadTrial,
)
from scripts.trials.retry_after_trial import RetryAfterFigures, RetryAfterTrial
from scripts.trials.strategy_trial import (
    STRATEGIES,
    StrategyFigures,
    run_strategy,
)

MAX_PROCESSES = 4

app = Typer(help=__doc__)


def show(row: object) -> None:
    """
    Print one row of figures.
    """
    cells = [
        f'{each:.3g}' if isinstance(each, float) else str(each)
        for each in astuple(row)
    ]
    echo('  '.join(cell.rjust(13) for cell in cells))


def show_header(kind: type) -> None:
    """
    Print the names of the columns.
    """
    names = [field.name for field in fields(kind)]
    echo('  '.join(name.rjust(13) for name in names))


@app.command()
def routes(seed: int = 1, fill: float = 1.5, parts: int = 2) -> None:
    """
    Compare the ways to choose engines.
    """
    show_header(StrategyFigures)
    for choice in STRATEGIES:
        begun = time.monotonic()
        show(run_strategy(choice, seed, fill, parts))
        echo(f'    took {time.monotonic() - begun:.1f} s', err=True)


@app.command()
def overload(seed: int = 1) -> None:
    """
    Goodput at and over the bound, and through the loss of a zone.
    """
    show_header(LoadFigures)
    cases = [
        LoadCase(load, seed, has_policy)
        for has_policy in (True, False)
        for load in (0.5, 1, 2)
    ]
    cases += [
        LoadCase(load, seed, has_policy, loses_zone=True)
        for has_policy in (True, False)
        for load in (0.6, 1, 2)
    ]
    with ProcessPoolExecutor(MAX_PROCESSES) as pool:
        for figures in pool.map(run_case, cases):
            show(figures)


def run_case(case: LoadCase) -> LoadFigures:
    """
    Run one case, in a process of its own.
    """
    return OverloadTrial(case).run()


@app.command()
def fairness(seed: int = 1) -> None:
    """
    A hot branch beside a quiet one.
    """
    show_header(FairnessFigures)
    for priorities in ('fair', 'caller'):
        for load in (0.2, 0.5, 2):
            show(FairnessTrial(load, priorities, seed).run())


@app.command()
def limits(seed: int = 1) -> None:
    """
    By how much routers pass a limit together.
    """
    show_header(LimitFigures)
    for routers in (8, 40):
        for pattern in ('even', 'one', 'moving', 'burst'):
            show(LimitsTrial(LimitCase(pattern, routers, seed=seed)).run())
        cut = LimitCase('even', routers, cut_off=True, seed=seed)
        show(LimitsTrial(cut).run())
    show(LimitsTrial(LimitCase('even', 380, seed=seed)).run())
    show(LimitsTrial(LimitCase('even', 8, workspaces=64, seed=seed)).run())
    show_header(SizeFigures)
    for callers in ('any', 'zone', 'home'):
        show(LimitsAtSize(callers, seed, cut_off=False).run())
    show(LimitsAtSize('home', seed, cut_off=True).run())


@app.command()
def returning(seed: int = 1) -> None:
    """
    Callers that come back when Retry-After says.
    """
    show_header(RetryAfterFigures)
    for times in ('wait', 'spaced'):
        show(RetryAfterTrial(times, seed).run())


@app.command()
def bench() -> None:
    """
    Time single decisions at several sizes, up to the full one.
    """
    show_header(DecisionFigures)
    for part in (0.1, 0.25, 0.5, 1):
        for figures in bench_online(part):
            show(figures)
    for layers in (16, 32, 64):
        for figures in bench_offline(layers):
            show(figures)


if __name__ == '__main__':
    app()
