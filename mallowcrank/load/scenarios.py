"""
All scenarios, with the names of processes and zones from scripts/bench.py.
"""

from dataclasses import replace
from types import MappingProxyType

from mallowcrank.load.records import CallKind
from mallowcrank.load.scenario import (
    CallerGroup,
    Order,
    OrderRecipient,
    Scenario,
)

MODEL = 'assistant'
FAULT_AT_S = 8
MAX_CONFIG_DELAY_S = 9  # the limit required by users
FLOOD_BYTES_PER_S = 10_000_000  # on each connection
SLOW_BYTES_PER_S = 2000  # a call of 2 KB takes 1 s instead of 10 ms
CONFIG_RECORD_TEXT = '"config"'  # occurs in records of published settings
QUOTE_PREFIX = 'You draft custom hat quotes for franchise milliners. Quote for '

QUOTES = CallerGroup(
    'quotes',
    CallKind.COMPLETION,
    'topi/quotes',
    MODEL,
    callers=16,
    prefix=QUOTE_PREFIX,
)
FITTINGS = CallerGroup(
    'fittings', CallKind.COMPLETION, 'topi/fittings', MODEL, callers=4
)
REPORTS = CallerGroup(
    'reports', CallKind.COMPLETION, 'rail/reports', MODEL, callers=8
)
PERMITS = CallerGroup(
    'permits',
    CallKind.COMPLETION,
    'rail/permits',
    MODEL,
    callers=2,
    repeatable=False,
)
LOOKUPS = CallerGroup(
    'lookups',
    CallKind.SERVICE,
    'topi/counter',
    'stock',
    callers=3,
    pause_s=0.1,
    repeatable=False,
    deadline_s=8,
)
ALERTS = CallerGroup(
    'alerts',
    CallKind.SERVICE,
    'rail/alerts',
    'alert',
    callers=3,
    pause_s=0.05,
    deadline_s=5,
    silence_s=0.1,
)
LIGHT_GROUPS = (
    replace(QUOTES, callers=3),
    replace(REPORTS, callers=2),
    replace(PERMITS, callers=1),
    ALERTS,
)
ALL_GROUPS = (QUOTES, FITTINGS, REPORTS, PERMITS, LOOKUPS, ALERTS)


def _fault_order(name: str, fault: str, **fields: object) -> Order:
    return Order(
        FAULT_AT_S,
        OrderRecipient.STANDIN,
        name,
        {'fault': fault, **fields},
        is_fault=True,
    )


def _process_order(name: str, action: str, **fields: object) -> Order:
    return Order(
        FAULT_AT_S,
        OrderRecipient.PROCESS,
        name,
        {'action': action, **fields},
        is_fault=True,
    )


def _delayed(order: Order, seconds: float) -> Order:
    return replace(order, at_s=order.at_s + seconds, is_fault=False)


def _scaled(
    groups: tuple[CallerGroup, ...], factor: int
) -> tuple[CallerGroup, ...]:
    return tuple(
        replace(group, callers=group.callers * factor)
        if group.kind is CallKind.COMPLETION and group.repeatable
        else group
        for group in groups
    )


_ALL = (
    Scenario('steady', 'No faults; load at the bound.', ALL_GROUPS),
    Scenario(
        'first-token',
        'A light load on fast engines, to measure token latency.',
        LIGHT_GROUPS,
    ),
    Scenario(
        'mixed-speeds',
        'One engine runs slower than it reports.',
        ALL_GROUPS,
        (_fault_order('engine-b1', 'delay', seconds=0.05),),
    ),
    Scenario(
        'hot-branch',
        'One branch sends four times its usual load.',
        (
            replace(QUOTES, callers=64),
            FITTINGS,
            REPORTS,
            PERMITS,
            LOOKUPS,
            ALERTS,
        ),
    ),
    Scenario(
        'overload',
        'Twice as many callers as fill the engines, with short deadlines.',
        _scaled(ALL_GROUPS, 2),
    ),
    Scenario(
        'stage-crash',
        'An engine crashes while it runs streams.',
        ALL_GROUPS,
        (_fault_order('engine-a1', 'crash'),),
    ),
    Scenario(
        'silent-connection',
        'Open connections to an engine and services go silent for good.',
        ALL_GROUPS,
        (
            _fault_order('engine-a1', 'silence'),
            _fault_order('alert-1', 'silence'),
            _fault_order('stock-1', 'silence'),
        ),
    ),
    Scenario(
        'router-crash',
        'A router crashes.',
        ALL_GROUPS,
        (_process_order('router-0', 'kill'),),
    ),
    Scenario(
        'router-drain',
        'A router stops gracefully.',
        ALL_GROUPS,
        (_process_order('router-0', 'terminate'),),
    ),
    Scenario(
        'rolling-routers',
        'All routers are replaced gracefully, one after another.',
        ALL_GROUPS,
        (_process_order('routers', 'replace'),),
        seconds=45,
    ),
    Scenario(
        'target-leaving',
        'An engine and a service replica leave.',
        ALL_GROUPS,
        (
            _fault_order('engine-a1', 'leave'),
            _fault_order('stock-1', 'leave'),
        ),
    ),
    Scenario(
        'log-outage',
        'The log is unavailable for 8 s while an operator publishes a change.',
        ALL_GROUPS,
        (
            _process_order('settings', 'publish', race=1),
            _delayed(_fault_order('log', 'outage', seconds=8), 0.5),
        ),
    ),
    Scenario(
        'config-race',
        'Two operators change the same setting at the same time.',
        ALL_GROUPS,
        (_process_order('settings', 'publish', race=2),),
        config_within_s=MAX_CONFIG_DELAY_S,
    ),
    Scenario(
        'lost-append-answer',
        'The answer to an append is lost after the append took effect.',
        ALL_GROUPS,
        (
            _fault_order('log', 'lose_answer', count=1, path='/append'),
            _process_order('settings', 'publish', race=1),
        ),
        config_within_s=MAX_CONFIG_DELAY_S,
    ),
    Scenario(
        'paused-leaseholder',
        'All processes of one host are paused for 6 s.',
        ALL_GROUPS,
        (
            _process_order('agent-0', 'pause'),
            _process_order('router-0', 'pause'),
            _delayed(_process_order('agent-0', 'resume'), 6),
            _delayed(_process_order('router-0', 'resume'), 6),
        ),
    ),
    Scenario(
        'zone-loss',
        'All processes in one availability zone crash.',
        ALL_GROUPS,
        (
            _fault_order('engine-a1', 'crash'),
            _fault_order('engine-a2', 'crash'),
            _fault_order('stock-1', 'crash'),
            _fault_order('alert-1', 'crash'),
            _process_order('router-0', 'kill'),
            _process_order('agent-0', 'kill'),
        ),
    ),
    Scenario(
        'slow-link',
        'The link to an engine becomes a hundred times slower.',
        ALL_GROUPS,
        (_fault_order('engine-a1', 'slow_link', bytes_per_s=SLOW_BYTES_PER_S),),
    ),
    Scenario(
        'crossed-answers',
        'Engines swap results and answer late; a service answers late.',
        ALL_GROUPS,
        (
            *(
                _fault_order(name, 'cross', count=200)
                for name in ('engine-a1', 'engine-b2', 'engine-c1')
            ),
            *(
                _fault_order(name, 'delay', seconds=0.3, count=20, path=path)
                for name, path in (
                    ('engine-b1', '/steps'),
                    ('engine-c1', '/steps'),
                    ('stock-1', '/calls'),
                )
            ),
        ),
    ),
    Scenario(
        'log-outage-after-publish',
        'The log accepts a change and is then unavailable for 12 s.',
        ALL_GROUPS,
        (
            _delayed(
                _fault_order(
                    'log', 'outage', seconds=12, after=CONFIG_RECORD_TEXT
                ),
                -1,
            ),
            _process_order('settings', 'publish', race=1),
        ),
        config_within_s=MAX_CONFIG_DELAY_S,
    ),
    Scenario(
        'endless-answers',
        'An engine and a service replica answer without end.',
        ALL_GROUPS,
        (
            _fault_order(
                'engine-a1',
                'flood',
                path='/steps',
                bytes_per_s=FLOOD_BYTES_PER_S,
            ),
            _fault_order(
                'stock-1',
                'flood',
                path='/calls',
                bytes_per_s=FLOOD_BYTES_PER_S,
            ),
        ),
    ),
    Scenario(
        'two-faults',
        'An engine crashes, and a second later a router does.',
        ALL_GROUPS,
        (
            _fault_order('engine-a1', 'crash'),
            _delayed(_process_order('router-0', 'kill'), 1),
        ),
    ),
)

SCENARIOS = MappingProxyType({scenario.name: scenario for scenario in _ALL})
