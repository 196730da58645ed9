"""
Measures streams whose idempotency key is stored by another router.

Run `python -m scripts.measure_forwarding`; it takes half a minute. Ratios are
within one run.
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
DISCOVERY_S = 5  # until the routers know each other
STREAMS = 12
TOKENS = 40
STEP_MS = 20
MS_PER_S = 1000


@dataclass(frozen=True)
class Timing:
    """
    Times of one stream.

    :param first_s: time to the first chunk in seconds.
    :param total_s: time to the end in seconds.
    """

    first_s: float
    total_s: float


def run_stream(http: urllib3.PoolManager, router: str, key: str) -> Timing:
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
    first_s = time.perf_counter() - began
    answer.read()
    answer.release_conn()
    return Timing(first_s, time.perf_counter() - began)


def measure(routers: tuple[str, ...]) -> None:
    """
    Print median times at the router that stores the key and at the other one.
    """
    http = urllib3.PoolManager(retries=False)
    prefix = get_json(routers[0], '/v1/addresses')['key_prefix']
    for kind, router in (('keeper', routers[0]), ('forwarded', routers[1])):
        timings = [
            run_stream(http, router, f'{prefix}{kind}{number}')
            for number in range(STREAMS)
        ]
        first_s = statistics.median(each.first_s for each in timings)
        total_s = statistics.median(each.total_s for each in timings)
        print(
            f'{kind}: first piece {first_s * MS_PER_S:.0f} ms, '
            f'whole {total_s * MS_PER_S:.0f} ms '
            f'({STREAMS} streams of {TOKENS} tokens, steps of {STEP_MS} ms)'
        )


def main() -> None:
    """
    Start a small system and measure it.
    """
    system = System((Engine('engine-1', '0-23', STEP_MS, ZONES[0]),), (), ZONES)
    with Fleet() as fleet:
        layout = Layout(fleet, len(ZONES))
        start_all(layout, system)
        layout.wait_until_up()
        status = publish(fleet, layout, SETTINGS).wait()
        if status:
            raise RuntimeError(f'publishing ended with {status}')
        time.sleep(DISCOVERY_S)
        measure(layout.addresses.routers)


if __name__ == '__main__':
    main()
