"""
Measures membership: CPU, bytes, memory, detection and propagation.

    python -m scripts.measure_membership whole|probe|churn|detect|probing|leases

All times are virtual, except for processor and wall time. State machines,
codecs and frames are the product's own.
"""

import resource
import sys
import time
import tracemalloc
from collections.abc import Callable, Mapping
from dataclasses import replace
from statistics import mean, median
from types import MappingProxyType

from mallowcrank.calls import HttpCaller
from mallowcrank.leases.records import DEFAULT_TIMINGS, TARGET_GROUPS
from mallowcrank.membership.events import StartProbe
from mallowcrank.membership.facts import MemberState
from mallowcrank.membership.inbox import Event, Publish, Tick
from mallowcrank.membership.prober import PersistentConnection, parse_reply
from mallowcrank.membership.probing import PROBE_INTERVAL_S
from mallowcrank.web import WebServer, json_response
from scripts.light_targets import status_of
from scripts.one_agent import ZONES, OneAgent, target_fact, target_listing
from scripts.probing_strategies import STRATEGIES, run_strategy
from scripts.virtual_agents import VirtualFleet
from scripts.virtual_network import ResourceUsage
from scripts.virtual_time import START_S

LEAVING_TARGETS = range(2, 14)  # leave one after the other
STEADY_S = 60
PROBE_CALLS = 300
PROBE_ROUNDS = 9  # alternating, so that other load slows both kinds alike
PROBE_CPU_MS = 0.35  # over a persistent connection, as printed by `probe`
SIZES = ((8, 80), (95, 1000), (380, 4100))


def print_row(*cells: object) -> None:
    """
    Print one row.
    """
    texts = (
        f'{cell:.3g}' if isinstance(cell, float) else str(cell)
        for cell in cells
    )
    print(' | '.join(texts), flush=True)


def measure_whole() -> None:
    """
    Measure one agent at each size under ordinary load.
    """
    print_row(
        'agents', 'targets', 'ms/s', 'sent B/s', 'got B/s', 'probes/s', 'MB'
    )
    for agents, targets in SIZES:
        tracemalloc.start()
        one = OneAgent(agents, targets)
        memory_mb = tracemalloc.get_traced_memory()[0] / 1e6
        tracemalloc.stop()
        one.run_second(0)
        one.usage = ResourceUsage()
        for number in range(1, STEADY_S + 1):
            one.run_second(number)
        used = one.usage
        print_row(
            agents,
            targets,
            used.cpu_s * 1000 / STEADY_S
            + used.probes * PROBE_CPU_MS / STEADY_S,
            used.sent / STEADY_S,
            used.received / STEADY_S,
            used.probes / STEADY_S,
            memory_mb,
        )
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    print_row('peak of the process', f'{peak:.0f} MB')


def measure_probe() -> None:
    """
    Measure the cost of a probe by pooled and persistent connections.
    """
    status = status_of('e1')
    server = WebServer('127.0.0.1:0', lambda _request: json_response(status))
    server.start()
    probe = StartProbe('e1', server.address)
    caller = HttpCaller(server.address, connections=1)
    connection = PersistentConnection(server.address)
    jobs: dict[str, Callable[[], object]] = {
        'pool': lambda: parse_reply(probe, caller.call('GET', '/status')),
        'kept': lambda: parse_reply(probe, connection.get('/status')),
    }
    cpu_ms: dict[str, list[float]] = {name: [] for name in jobs}
    for _ in range(PROBE_ROUNDS):
        for name, job in jobs.items():
            cpu_ms[name].append(_cpu_ms(job))
    for name, each in cpu_ms.items():
        print_row(
            'ms a probe', name, 'least', min(each), 'median', median(each)
        )
    print_row('bytes of a body', len(connection.get('/status').body))
    connection.close()
    server.stop()


def _cpu_ms(job: Callable[[], object]) -> float:
    started = time.thread_time()
    for _ in range(PROBE_CALLS):
        job()
    return (time.thread_time() - started) * 1000 / PROBE_CALLS


def measure_churn() -> None:
    """
    Measure the costs of single changes at each size.
    """
    print_row(
        'agents', 'targets', 'ms an agent that goes', 'ms a target changes'
    )
    for agents, targets in SIZES:
        one = OneAgent(agents, targets)
        one.run_second(0)
        one.run_second(1)
        known = one.agent.gossip.store.get(('m', 'h5'))
        dead = replace(known, state=MemberState.DEAD, stamp=one.now)
        print_row(
            agents,
            targets,
            _measure_cost_ms(one, Publish((dead,))),
            _measure_cost_ms(
                one,
                Publish((replace(target_fact(3), version=2, leaving=True),)),
            ),
        )


def _measure_cost_ms(one: OneAgent, event: Event) -> float:
    one.usage = ResourceUsage()
    one.handle(event)
    one.now += 1.5
    one.handle(Tick())
    return one.usage.cpu_s * 1000


def build_fleet(agents: int, targets: int) -> VirtualFleet:
    """
    Return a fleet whose agents know all members and targets from the start.
    """
    fleet = VirtualFleet(zones=ZONES)
    for number in range(agents):
        fleet.add_agent(number)
    known = tuple(agent.gossip.local_member for agent in fleet.agents.values())
    facts = []
    for number in range(targets):
        name = fleet.add_target(number)
        fact = replace(fleet.targets[name].fact, stamp=START_S)
        fleet.targets[name].fact = fact
        facts.extend((fact, target_listing(fact)))
    for agent in fleet.agents.values():
        now = fleet.time.instant
        agent.apply_updates(agent.gossip.publish((*known, *facts), now), now)
    fleet.time.run(5)
    return fleet


def measure_detection() -> None:
    """
    Measure the times until all agents of a fleet know of a change.
    """
    print_row(
        'agents',
        'links',
        'dead s',
        'leaving at most s',
        'spread s',
        'agent dead s',
    )
    for agents, targets in ((8, 24), (32, 48), (95, 95), (380, 40)):
        started = time.perf_counter()
        fleet = build_fleet(agents, targets)
        links = mean(len(agent.gossip.links) for agent in fleet.agents.values())
        print_row(
            agents,
            links,
            detect_dead(fleet, 'e1'),
            detect_leaving(fleet),
            measure_propagation(fleet),
            detect_dead_agent(fleet, 'h3'),
            f'{time.perf_counter() - started:.0f} s of wall time',
        )


def detect_dead(fleet: VirtualFleet, name: str) -> float:
    """
    Return the seconds until all agents hold a silent target to be gone.
    """
    fleet.targets[name].answers = False
    agents = len(fleet.agents)
    return fleet.time.run_until(
        lambda: fleet.count_states(name)['gone'] == agents, 60
    )


def detect_leaving(fleet: VirtualFleet) -> float:
    """
    Return the longest time in seconds until all agents know a leaving target.

    The host list is down, so that agents learn of it by probes and peers.
    """
    fleet.host_list_available = False
    return max(
        _detect_leaving_target(fleet, f'e{number}')
        for number in LEAVING_TARGETS
    )


def _detect_leaving_target(fleet: VirtualFleet, name: str) -> float:
    fleet.time.run(PROBE_INTERVAL_S / len(LEAVING_TARGETS))
    fleet.change_target(name, leaving=True)
    agents = len(fleet.agents)
    return fleet.time.run_until(
        lambda: fleet.count_states(name)['leaving'] == agents, 60
    )


def measure_propagation(fleet: VirtualFleet) -> float:
    """
    Return the seconds until all agents know a fact that one agent publishes.
    """
    changed = replace(target_fact(0), version=99)
    fleet.dispatch('h1', Publish((changed,)))
    return fleet.time.run_until(
        lambda: all(
            agent.gossip.store.get(('t', 'e0')).version == 99
            for agent in fleet.agents.values()
        ),
        60,
    )


def detect_dead_agent(fleet: VirtualFleet, name: str) -> float:
    """
    Return the seconds until all agents hold a silent agent to be dead.
    """
    fleet.network.stopped.add(name)
    return fleet.time.run_until(
        lambda: fleet.all_agree(name, MemberState.DEAD), 60
    )


def measure_probing() -> None:
    """
    Compare three ways to probe, in virtual time.
    """
    print_row(
        'way', 'agents', 'rate at a target', 'peak', 'by an agent', 'found s'
    )
    for agents, targets in SIZES:
        for way in STRATEGIES:
            figures = run_strategy(way, agents)
            by_agent = figures.rate * targets / agents
            print_row(
                way.name,
                agents,
                figures.rate,
                figures.peak,
                by_agent,
                figures.detection_s,
            )


def measure_leases() -> None:
    """
    Print the rates of lease records that the timings allow.
    """
    print_row(
        'records a second by one agent at most',
        1 / DEFAULT_TIMINGS.append_interval_s,
    )
    print_row('by 380 agents at most', 380 / DEFAULT_TIMINGS.append_interval_s)
    print_row(
        '64 groups held by 64 agents', TARGET_GROUPS / DEFAULT_TIMINGS.renew_s
    )
    print_row('4,100 targets with a lease each', 4100 / DEFAULT_TIMINGS.renew_s)


MEASUREMENTS: Mapping[str, Callable[[], None]] = MappingProxyType(
    {
        'whole': measure_whole,
        'probe': measure_probe,
        'churn': measure_churn,
        'detect': measure_detection,
        'probing': measure_probing,
        'leases': measure_leases,
    }
)

if __name__ == '__main__':
    for name in sys.argv[1:] or MEASUREMENTS:
        MEASUREMENTS[name]()
