"""
Measures a host's routers: tokens a second, processor time, and gaps.

Run `python -m scripts.measure_data_path`, with `--routers 2` for two router
processes beside each other, with one agent. Callers are processes of their own,
so that their interpreters don't slow the router's. Engines answer a step in
1 ms, so that the router is what limits.
"""

import os
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from multiprocessing import get_context
from multiprocessing.queues import Queue
from pathlib import Path
from statistics import median, quantiles
from typing import Annotated

import typer
import urllib3

from scripts.fleet import POLL_INTERVAL_S, Fleet, Process
from scripts.layout import ROUTER_PORT, ROUTER_PORT_STRIDE, Engine, Layout
from scripts.system import publish

CALLER_PROCESSES = 8
LAYERS = 8
THREADS = 300  # of all routers of the host
LIMIT_S = 120
MS_PER_S = 1000
MICROS_PER_S = 1_000_000
SETTINGS = f"""
[organisation]
models = ["assistant"]
request_rate = 10000
token_rate = 10000000
streams = 1000
timeout_s = {LIMIT_S}
[models.assistant]
layers = {LAYERS}
max_tokens = 2000
[branches.bench]
[branches.bench.workspaces.callers]
"""


@dataclass(frozen=True)
class Load:
    """
    What the callers do.

    :param streams: streams at a time.
    :param tokens: bound on each stream's tokens.
    :param stages: engines on the path.
    :param routers: router processes on the host.
    """

    streams: int
    tokens: int
    stages: int
    routers: int = 1


@dataclass
class Heard:
    """
    What one stream's caller heard; times in seconds.
    """

    tokens: int = 0
    first_s: float = 0
    gaps_s: list[float] = field(default_factory=list)


def call(router: str, tokens: int, prompt: str) -> Heard:
    """
    Run one stream.
    """
    started = time.monotonic()
    answer = urllib3.PoolManager(retries=False).request(
        'POST',
        f'http://{router}/v1/completions',
        json={
            'model': 'assistant',
            'prompt': prompt,
            'max_tokens': tokens,
            'stream': True,
        },
        headers={'X-Mallowcrank-Workspace': 'bench/callers'},
        preload_content=False,
        timeout=LIMIT_S,
    )
    heard = Heard()
    before = started
    for piece in answer.stream():
        now = time.monotonic()
        if heard.first_s:
            heard.gaps_s.append(now - before)
        else:
            heard.first_s = now - started
        before = now
        heard.tokens += piece.count(b'"text": "') - piece.count(b'"text": ""')
    return heard


def run_callers(
    router: str, load: Load, seed: int, heard: 'Queue[list[Heard]]'
) -> None:
    """
    Run a part of the streams; in a process of its own.
    """
    count = load.streams // CALLER_PROCESSES
    with ThreadPoolExecutor(count) as threads:
        running = [
            threads.submit(call, router, load.tokens, f'prompt {seed} {number}')
            for number in range(count)
        ]
    heard.put([each.result() for each in running])


def cpu_seconds(process: Process) -> float:
    """
    Return the processor time that a process has used.
    """
    stat = Path(f'/proc/{process.pid}/stat').read_text().rpartition(')')[2]
    user, system = stat.split()[11:13]
    return (int(user) + int(system)) / os.sysconf('SC_CLK_TCK')


def start_system(fleet: Fleet, load: Load) -> tuple[str, ...]:
    """
    Start one host and the engines of one path.

    :returns: the routers' addresses.
    """
    layout = Layout(fleet, hosts=1)
    layout.start_platform()
    width = LAYERS // load.stages
    for stage in range(load.stages):
        first = stage * width
        layers = f'{first}-{first + width - 1}'
        layout.start_engine(
            Engine(f'engine-{stage}', layers, 1, 'a', LAYERS, slots=512)
        )
    layout.start_agent(0, 'a')
    flags = ('--threads', str(THREADS // load.routers))
    for further in range(load.routers):
        layout.start_router(0, 'a', *flags, router_index=further)
    layout.wait_until_up()
    publish_settings(fleet, layout)
    layout.wait_until_targets_known()
    routers = tuple(
        layout.addresses.host_address(
            0, ROUTER_PORT + ROUTER_PORT_STRIDE * beside
        )
        for beside in range(load.routers)
    )
    for router in routers:
        wait_until_served(router)
    return routers


def wait_until_served(router: str) -> None:
    """
    Wait until a router serves the model.

    :raises TimeoutError: when it doesn't.
    """
    end = time.monotonic() + LIMIT_S
    while not call(router, 1, 'hat').tokens:
        if time.monotonic() > end:
            raise TimeoutError(f'{router} serves nothing')
        time.sleep(POLL_INTERVAL_S)


def publish_settings(fleet: Fleet, layout: Layout) -> None:
    """
    Publish the settings and wait until they are in force.

    :raises RuntimeError: when they don't come into force.
    """
    settings = fleet.folder / 'settings.toml'
    settings.write_text(SETTINGS)
    process = publish(fleet, layout, settings)
    if process.wait():
        raise RuntimeError(process.log_path.read_text())


def measure(load: Load) -> str:
    """
    Run a load and return a row of the table.
    """
    with Fleet() as fleet:
        addresses = start_system(fleet, load)
        beside = (f'router-0-{number}' for number in range(1, load.routers))
        routers = [fleet.get(name) for name in ('router-0', *beside)]
        context = get_context('fork')
        heard = context.Queue()
        used = sum(map(cpu_seconds, routers))
        started = time.monotonic()
        for seed in range(CALLER_PROCESSES):
            address = addresses[seed % load.routers]
            context.Process(
                target=run_callers, args=(address, load, seed, heard)
            ).start()
        parts = [heard.get() for _ in range(CALLER_PROCESSES)]
        seconds = time.monotonic() - started
        used = sum(map(cpu_seconds, routers)) - used
    return format_row(load, sum(parts, []), seconds, used)


def format_row(
    load: Load, results: list[Heard], seconds: float, used_s: float
) -> str:
    """
    Lay out the figures of a load.
    """
    tokens = sum(each.tokens for each in results)
    gaps = [gap for each in results for gap in each.gaps_s]
    firsts = [each.first_s for each in results]
    cells = (
        load.streams,
        load.stages,
        f'{tokens / seconds:,.0f}',
        f'{used_s / seconds:.2f}',
        f'{MICROS_PER_S * used_s / tokens:.0f}',
        f'{MS_PER_S * _p95(firsts):.0f}',
        f'{MS_PER_S * median(gaps):.0f}',
        f'{MS_PER_S * _p95(gaps):.0f}',
    )
    return ' | '.join(('', *map(str, cells), '')).strip()


def _p95(seconds: list[float]) -> float:
    return quantiles(seconds, n=20)[-1]


def main(
    tokens: Annotated[int, typer.Option(help='Bound on each answer.')] = 150,
    routers: Annotated[int, typer.Option(help='Router processes.')] = 1,
) -> None:
    """
    Measure a host's routers under three counts of streams and stages.
    """
    print(
        '| streams | stages | tokens/s | cores | CPU us/token | '
        'first token p95 ms | gap p50 ms | gap p95 ms |'
    )
    print('| --- | --- | --- | --- | --- | --- | --- | --- |')
    for streams in (16, 64, 128):
        for stages in (1, 2, 4):
            print(measure(Load(streams, tokens, stages, routers)), flush=True)


if __name__ == '__main__':
    typer.run(main)
