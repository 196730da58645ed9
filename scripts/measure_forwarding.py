"""
Measure streams with a key that another router keeps.

Run `python -m scripts.measure_forwarding`; it takes half a minute. Ratios come
from one run.
"""

import json
import statistics
import time
from dataclasses import dataclass
from pathlib import Path

import urllib3

from scripts.fleet import Fleet, get_json
from scripts.layout import Engine, Layout
from scripts.system import System, publish, start_all

SETTINGS = Path(__file__).parent.parent / 'examples' / 'demo.toml'
ZONES = 'shah-alam', 'petaling'
SPREAD_S = 5  # for the routers to know each other
STREAMS = 12
TOKENS = 40
STEP_MS = 20
MS = 1000


@dataclass(frozen=True)
class Timing:
    """
    Seconds of one stream.
    """

    first: float
    whole: float


def ask(http: urllib3.PoolManager, router: str, key: str) -> Timing:
    """
    Run one stream.
    """
    headers = {
        'X-Mallowcrank-Workspace': 'shah-alam/counter',
        'X-Mallowcrank-Repeatable': 'no',
        'Idempotency-Key': key,
    }
    body = {
        'model': 'assistant',
        'prompt': 'hat',
        'max_tokens': TOKENS,
        'stream': True,
    }
    began = time.perf_counter()
    answer = http.request(
        'POST',
        f'http://{router}/v1/completions',
        body=json.dumps(body).encode(),
        headers=headers,
        preload_content=False,
    )
    if answer.status != 200:
        raise RuntimeError(answer.data)
    answer.read1()
    first = time.perf_counter() - began
    answer.read()
    answer.release_conn()
    return Timing(first, time.perf_counter() - began)


def measure(routers: tuple[str, ...]) -> None:
    """
    Print the medians at the keeper and at the other router.
    """
    http = urllib3.PoolManager(retries=False)
    prefix = get_json(routers[0], '/v1/addresses')['key_prefix']
    for way, router in (('keeper', routers[0]), ('forwarded', routers[1])):
        timings = [
            ask(http, router, f'{prefix}{way}{number}')
            for number in range(STREAMS)
        ]
        first = statistics.median(each.first for each in timings)
        whole = statistics.median(each.whole for each in timings)
        print(
            f'{way}: first piece {first * MS:.0f} ms, whole {whole * MS:.0f} ms '
            f'({STREAMS} streams of {TOKENS} tokens, steps of {STEP_MS} ms)'
        )


def main() -> None:
    """
    Start a small system and measure.
    """
    system = System((Engine('engine-1', '0-23', STEP_MS, ZONES[0]),), (), ZONES)
    with Fleet() as fleet:
        layout = Layout(fleet, len(ZONES))
        start_all(layout, system)
        layout.wait_until_up()
        status = publish(fleet, layout, SETTINGS).wait()
        if status:
            raise RuntimeError(f'publishing ended with {status}')
        time.sleep(SPREAD_S)
        measure(layout.addresses.routers)


if __name__ == '__main__':
    main()
