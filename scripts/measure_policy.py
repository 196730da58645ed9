"""
Measures the policies by trials in virtual time and benchmarks of decisions.
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
from scripts.trials.overload_trial import LoadCase, LoadFigures, OverloadTrial
from scripts.trials.retry_after_trial import RetryAfterFigures, RetryAfterTrial
from scripts.trials.strategy_trial import (
    STRATEGIES,
    StrategyFigures,
    run_strategy,
)

MAX_PROCESSES = 4

app = Typer(help=__doc__)


def print_row(row: object) -> None:
    """
    Print a row of figures.
    """
    cells = [
        f'{each:.3g}' if isinstance(each, float) else str(each)
        for each in astuple(row)
    ]
    echo('  '.join(cell.rjust(13) for cell in cells))


def print_header(kind: type) -> None:
    """
    Print the column names of a kind of figures.
    """
    names = [field.name for field in fields(kind)]
    echo('  '.join(name.rjust(13) for name in names))


@app.command()
def routes(seed: int = 1, fill: float = 1.5, parts: int = 2) -> None:
    """
    Compare strategies to choose engines.
    """
    print_header(StrategyFigures)
    for choice in STRATEGIES:
        begun = time.monotonic()
        print_row(run_strategy(choice, seed, fill, parts))
        echo(f'    took {time.monotonic() - begun:.1f} s', err=True)


@app.command()
def overload(seed: int = 1) -> None:
    """
    Measure goodput at and above capacity, and during the loss of a zone.
    """
    print_header(LoadFigures)
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
            print_row(figures)


def run_case(case: LoadCase) -> LoadFigures:
    """
    Run one case; called in a worker process.
    """
    return OverloadTrial(case).run()


@app.command()
def fairness(seed: int = 1) -> None:
    """
    Measure a busy branch next to a quiet one.
    """
    print_header(FairnessFigures)
    for priorities in ('fair', 'caller'):
        for load in (0.2, 0.5, 2):
            print_row(FairnessTrial(load, priorities, seed).run())


@app.command()
def limits(seed: int = 1) -> None:
    """
    Measure by how much all routers together exceed a limit.
    """
    print_header(LimitFigures)
    for routers in (8, 40):
        for pattern in ('even', 'one', 'moving', 'burst'):
            print_row(LimitsTrial(LimitCase(pattern, routers, seed=seed)).run())
        cut_off_case = LimitCase('even', routers, cut_off=True, seed=seed)
        print_row(LimitsTrial(cut_off_case).run())
    print_row(LimitsTrial(LimitCase('even', 380, seed=seed)).run())
    print_row(LimitsTrial(LimitCase('even', 8, workspaces=64, seed=seed)).run())
    print_header(SizeFigures)
    for callers in ('any', 'zone', 'home'):
        print_row(LimitsAtSize(callers, seed, cut_off=False).run())
    print_row(LimitsAtSize('home', seed, cut_off=True).run())


@app.command()
def returning(seed: int = 1) -> None:
    """
    Measure callers that retry after the delay in Retry-After.
    """
    print_header(RetryAfterFigures)
    for times in ('wait', 'spaced'):
        print_row(RetryAfterTrial(times, seed).run())


@app.command()
def bench() -> None:
    """
    Time single decisions at several sizes up to the full size.
    """
    print_header(DecisionFigures)
    for part in (0.1, 0.25, 0.5, 1):
        for figures in bench_online(part):
            print_row(figures)
    for layers in (16, 32, 64):
        for figures in bench_offline(layers):
            print_row(figures)


if __name__ == '__main__':
    app()
