"""
Runs a scenario against processes that are already running.
"""

import time
from collections.abc import Callable
from pathlib import Path

from mallowcrank.load.addresses import ADDRESSES_TIMEOUT_S, AddressBook
from mallowcrank.load.callers import CallerPool
from mallowcrank.load.evidence import Evidence, Observations
from mallowcrank.load.figures import Window, count_outcomes
from mallowcrank.load.orders import TimelineRunner, fetch_fault_counts
from mallowcrank.load.report import Report, RunTimes, make_report
from mallowcrank.load.scenario import CallerGroup, Scenario
from mallowcrank.load.settings_versions import SettingsVersionWatcher
from mallowcrank.load.site import Site
from mallowcrank.load.trace import read_traces

PROGRESS_INTERVAL_S = 2
TRACE_SETTLE_S = 0.3  # for targets to write their last trace lines


def run_scenario(
    scenario: Scenario, seed: int, site: Site, say: Callable[[str], None]
) -> tuple[Report, Evidence]:
    """
    Run a scenario and check it against the promises.

    :param say: prints a line of progress.
    :raises OSError: when a trace can't be read.
    """
    callers = CallerPool(scenario.groups, seed, _make_book_factory(site))
    timeline = TimelineRunner(scenario, site, say)
    watcher = SettingsVersionWatcher(site)
    started_at = time.time()
    watcher.start()
    callers.start()
    timeline.start()
    ends_at = started_at + scenario.seconds
    while time.time() < ends_at:
        time.sleep(min(PROGRESS_INTERVAL_S, max(0, ends_at - time.time())))
        say(_format_progress(callers, time.time() - started_at))
    callers.stop()
    watcher.stop()
    time.sleep(TRACE_SETTLE_S)
    say(f'{len(callers.records)} calls ended; checking the promises')
    in_force_s = watcher.seconds_since(timeline.published_at)
    evidence = _collect_evidence(scenario, site, callers, in_force_s)
    times = RunTimes(
        Window(started_at + scenario.warm_s, ends_at), timeline.fault_at
    )
    return make_report(scenario, seed, site, evidence, times), evidence


def _collect_evidence(
    scenario: Scenario,
    site: Site,
    callers: CallerPool,
    in_force_s: float | None,
) -> Evidence:
    observations = Observations(
        fetch_fault_counts(scenario, site), in_force_s, scenario.config_within_s
    )
    trace = read_traces(Path(target.trace) for target in site.targets)
    return Evidence(callers.records, trace, site.layers, observations)


def _make_book_factory(site: Site) -> Callable[[int, CallerGroup], AddressBook]:
    def make_book(number: int, group: CallerGroup) -> AddressBook:
        first = number % len(site.routers)
        routers = site.routers[first:] + site.routers[:first]
        return AddressBook(
            [router.address for router in routers],
            routers[0].availability_zone,
            group.workspace,
            group.silence_s or ADDRESSES_TIMEOUT_S,
        )

    return make_book


def _format_progress(callers: CallerPool, seconds: float) -> str:
    records = callers.records
    counts = ', '.join(
        f'{count} {outcome}'
        for outcome, count in sorted(count_outcomes(records).items())
    )
    return f'{seconds:5.1f} s: {counts or "no call has ended"}'
