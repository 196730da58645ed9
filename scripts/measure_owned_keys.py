"""
Measure what a key without a prefix costs: finding its owner, and the way there.

Run `python -m scripts.measure_owned_keys`; it takes two minutes, as an owner
starts such keys only after its quarantine. Ratios come from one run.
"""

import statistics
import time
from collections import defaultdict
from pathlib import Path

import urllib3

from mallowcrank.requests.key_ownership import (
    QUARANTINE_S,
    LookupContext,
    Membership,
    RouterId,
    find_owner,
)
from scripts.fleet import Fleet, get_json
from scripts.layout import Engine, Layout, Service
from scripts.system import System, publish, start_all

SETTINGS = Path(__file__).parent.parent / 'examples' / 'demo.toml'
WORKSPACE = 'shah-alam/counter'
PATH = '/v1/services/catalogue/stock'
ZONES = 'shah-alam', 'petaling'
CALLS = 400
LOOKS = 200
ROUTERS = 380
MICROSECONDS = 1_000_000
SPREAD_S = 10  # for the routers to know each other
CHANGES = 1, 2, 10  # memberships in a quarantine


def measure_decision() -> None:
    """
    Print what finding an owner takes.
    """
    routers = frozenset(
        RouterId(f'r{number}', f'{number:016x}') for number in range(ROUTERS)
    )
    me = min(routers, key=lambda each: each.name)
    for changes in CHANGES:
        history = (Membership(routers),) * changes
        known = LookupContext(
            me, {}, history, forwarded=False, view_age_s=0, now=0
        )
        began = time.perf_counter()
        for number in range(LOOKS):
            find_owner(f'klang/quotes\0{number}', known)
        spent = (time.perf_counter() - began) / LOOKS
        print(
            f'owner of {ROUTERS} routers, {changes} memberships: '
            f'{spent * MICROSECONDS:.0f} us',
            flush=True,
        )


def measure_calls(routers: tuple[str, ...]) -> None:
    """
    Print the medians of calls by the way that they went.
    """
    http = urllib3.PoolManager(retries=False)
    prefix = get_json(routers[0], '/v1/addresses')['key_prefix']
    own = get_json(routers[0], '/v1/addresses')['key_prefix'].split('.')[1]
    spent: defaultdict[str, list[float]] = defaultdict(list)
    for number in range(CALLS):
        for kind, key in (
            ('prefix', f'{prefix}{number}'),
            ('own', str(number)),
        ):
            headers = {
                'X-Mallowcrank-Workspace': WORKSPACE,
                'Idempotency-Key': key,
            }
            began = time.perf_counter()
            answer = http.request(
                'POST',
                f'http://{routers[0]}{PATH}',
                headers=headers,
                body=b'{}',
            )
            took = time.perf_counter() - began
            if answer.status != 200:
                raise RuntimeError(answer.data)
            is_here = answer.headers['X-Mallowcrank-Router'] == own
            spent[f'{kind}, {"here" if is_here else "forwarded"}'].append(took)
    base = statistics.median(spent['prefix, here'])
    for way, each in sorted(spent.items()):
        middle = statistics.median(each)
        print(
            f'{way}: {len(each)} calls, median {middle * 1000:.1f} ms '
            f'({middle / base:.2f} x)'
        )


def main() -> None:
    """
    Measure both.
    """
    measure_decision()
    system = System(
        (Engine('engine-1', '0-23', 6, ZONES[0]),),
        (Service('catalogue-1', 'catalogue', ZONES[0]),),
        ZONES,
    )
    with Fleet() as fleet:
        layout = Layout(fleet, len(ZONES))
        start_all(layout, system)
        layout.wait_until_up()
        status = publish(fleet, layout, SETTINGS).wait()
        if status:
            raise RuntimeError(f'publishing ended with {status}')
        time.sleep(QUARANTINE_S + SPREAD_S)
        measure_calls(layout.addresses.routers)


if __name__ == '__main__':
    main()
