"""
Measures membership: processor time, bytes, memory, detection and spread.

    python -m scripts.measure_membership whole|probe|churn|detect|probing|leases

All times but the processor's are virtual. The state machines, codecs and
frames are the product's own.
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

LEAVING = range(2, 14)  # targets that leave one after the other
STEADY_S = 60
PROBE_CALLS = 300
PROBE_ROUNDS = 9  # of each way in turns, as other work slows both
PROBE_CPU_MS = 0.35  # of a probe over a kept connection, by `probe`
SIZES = ((8, 80), (95, 1000), (380, 4100))


def show(*cells: object) -> None:
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
    One agent at each size, all that an ordinary second brings.
    """
    show('agents', 'targets', 'ms/s', 'sent B/s', 'got B/s', 'probes/s', 'MB')
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
        show(
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
    show('peak of the process', f'{peak:.0f} MB')


def measure_probe() -> None:
    """
    The cost of one probe over a kept connection, by the product's caller.
    """
    status = status_of('e1')
    server = WebServer('127.0.0.1:0', lambda _request: json_response(status))
    server.start()
    probe = StartProbe('e1', server.address)
    caller = HttpCaller(server.address, connections=1)
    kept = PersistentConnection(server.address)
    ways: dict[str, Callable[[], object]] = {
        'pool': lambda: parse_reply(probe, caller.call('GET', '/status')),
        'kept': lambda: parse_reply(probe, kept.get('/status')),
    }
    spent: dict[str, list[float]] = {way: [] for way in ways}
    for _ in range(PROBE_ROUNDS):
        for way, job in ways.items():
            spent[way].append(_cpu_ms(job))
    for way, each in spent.items():
        show('ms a probe', way, 'least', min(each), 'median', median(each))
    show('bytes of a body', len(kept.get('/status').body))
    kept.close()
    server.stop()


def _cpu_ms(job: Callable[[], object]) -> float:
    started = time.thread_time()
    for _ in range(PROBE_CALLS):
        job()
    return (time.thread_time() - started) * 1000 / PROBE_CALLS


def measure_churn() -> None:
    """
    The costs of single changes at each size.
    """
    show('agents', 'targets', 'ms an agent that goes', 'ms a target changes')
    for agents, targets in SIZES:
        one = OneAgent(agents, targets)
        one.run_second(0)
        one.run_second(1)
        known = one.agent.gossip.store.get(('m', 'h5'))
        dead = replace(known, state=MemberState.DEAD, stamp=one.now)
        show(
            agents,
            targets,
            _cost(one, Publish((dead,))),
            _cost(
                one,
                Publish((replace(target_fact(3), version=2, leaving=True),)),
            ),
        )


def _cost(one: OneAgent, event: Event) -> float:
    one.usage = ResourceUsage()
    one.handle(event)
    one.now += 1.5
    one.handle(Tick())
    return one.usage.cpu_s * 1000


def build_fleet(agents: int, targets: int) -> VirtualFleet:
    """
    Return a fleet whose agents know all from the start.
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
    Times until all agents know, over whole fleets.
    """
    show(
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
        show(
            agents,
            links,
            detect_dead(fleet, 'e1'),
            detect_leaving(fleet),
            spread(fleet),
            detect_dead_agent(fleet, 'h3'),
            f'{time.perf_counter() - started:.0f} s of wall time',
        )


def detect_dead(fleet: VirtualFleet, name: str) -> float:
    """
    Return the seconds until a silent target is gone for all.
    """
    fleet.targets[name].answers = False
    agents = len(fleet.agents)
    return fleet.time.run_until(
        lambda: fleet.count_states(name)['gone'] == agents, 60
    )


def detect_leaving(fleet: VirtualFleet) -> float:
    """
    Return the most seconds until all know that a target leaves, the list out.
    """
    fleet.host_list_available = False
    return max(_leave(fleet, f'e{number}') for number in LEAVING)


def _leave(fleet: VirtualFleet, name: str) -> float:
    fleet.time.run(PROBE_INTERVAL_S / len(LEAVING))
    fleet.change_target(name, leaving=True)
    agents = len(fleet.agents)
    return fleet.time.run_until(
        lambda: fleet.count_states(name)['leaving'] == agents, 60
    )


def spread(fleet: VirtualFleet) -> float:
    """
    Return the seconds until a fact of one agent is known to all.
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
    Return the seconds until a silent agent is dead for all.
    """
    fleet.network.stopped.add(name)
    return fleet.time.run_until(
        lambda: fleet.all_agree(name, MemberState.DEAD), 60
    )


def measure_probing() -> None:
    """
    Three ways to probe, in one run in virtual time.
    """
    show('way', 'agents', 'rate at a target', 'peak', 'by an agent', 'found s')
    for agents, targets in SIZES:
        for way in STRATEGIES:
            tried = run_strategy(way, agents)
            by_agent = tried.rate * targets / agents
            show(
                way.name,
                agents,
                tried.rate,
                tried.peak,
                by_agent,
                tried.detection_s,
            )


def measure_leases() -> None:
    """
    The arithmetic of lease records.
    """
    show(
        'records a second by one agent at most',
        1 / DEFAULT_TIMINGS.append_interval_s,
    )
    show('by 380 agents at most', 380 / DEFAULT_TIMINGS.append_interval_s)
    show('64 groups held by 64 agents', TARGET_GROUPS / DEFAULT_TIMINGS.renew_s)
    show('4,100 targets with a lease each', 4100 / DEFAULT_TIMINGS.renew_s)


JOBS: Mapping[str, Callable[[], None]] = MappingProxyType(
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
    for wanted in sys.argv[1:] or JOBS:
        JOBS[wanted]()
