"""
Measures idempotency keys without a prefix: owner lookup and forwarding.

Run `python -m scripts.measure_owned_keys`; it takes two minutes, because an
owner starts calls with such keys only after its quarantine. Ratios are within
one run.
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
LOOKUPS = 200
ROUTERS = 380
US_PER_S = 1_000_000
DISCOVERY_S = 10  # until the routers know each other
MEMBERSHIP_COUNTS = 1, 2, 10  # within a quarantine


def measure_decision() -> None:
    """
    Print the time to find the owner of a key.
    """
    routers = frozenset(
        RouterId(f'r{number}', f'{number:016x}') for number in range(ROUTERS)
    )
    local_router = min(routers, key=lambda each: each.name)
    for memberships in MEMBERSHIP_COUNTS:
        history = (Membership(routers),) * memberships
        context = LookupContext(
            local_router, {}, history, forwarded=False, view_age_s=0, now=0
        )
        began = time.perf_counter()
        for number in range(LOOKUPS):
            find_owner(f'klang/quotes\0{number}', context)
        lookup_s = (time.perf_counter() - began) / LOOKUPS
        print(
            f'owner of {ROUTERS} routers, {memberships} memberships: '
            f'{lookup_s * US_PER_S:.0f} us',
            flush=True,
        )


def measure_calls(routers: tuple[str, ...]) -> None:
    """
    Print the median times of calls by kind of key and place of execution.
    """
    http = urllib3.PoolManager(retries=False)
    prefix = get_json(routers[0], '/v1/addresses')['key_prefix']
    own_id = get_json(routers[0], '/v1/addresses')['key_prefix'].split('.')[1]
    durations_s: defaultdict[str, list[float]] = defaultdict(list)
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
            duration_s = time.perf_counter() - began
            if answer.status != 200:
                raise RuntimeError(answer.data)
            is_here = answer.headers['X-Mallowcrank-Router'] == own_id
            durations_s[f'{kind}, {"here" if is_here else "forwarded"}'].append(
                duration_s
            )
    base_s = statistics.median(durations_s['prefix, here'])
    for name, each in sorted(durations_s.items()):
        median_s = statistics.median(each)
        print(
            f'{name}: {len(each)} calls, median {median_s * 1000:.1f} ms '
            f'({median_s / base_s:.2f} x)'
        )


def main() -> None:
    """
    Measure owner lookups and calls.
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
        time.sleep(QUARANTINE_S + DISCOVERY_S)
        measure_calls(layout.addresses.routers)


if __name__ == '__main__':
    main()
