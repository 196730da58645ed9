"""
Measures the routers of a host: tokens/s, processor time and token gaps.

Run `python -m scripts.measure_data_path`; `--routers 2` starts two router
processes that share one agent. Callers run in separate processes, so that they
don't compete with the router for its interpreter. Engines answer a step in
1 ms, so that the router is the bottleneck.
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
TIMEOUT_S = 120
MS_PER_S = 1000
US_PER_S = 1_000_000
SETTINGS = f"""
[organisation]
models = ["assistant"]
request_rate = 10000
token_rate = 10000000
streams = 1000
timeout_s = {TIMEOUT_S}
[models.assistant]
layers = {LAYERS}
max_tokens = 2000
[branches.bench]
[branches.bench.workspaces.callers]
"""


@dataclass(frozen=True)
class Load:
    """
    The load that callers generate.

    :param streams: number of concurrent streams.
    :param tokens: limit on the tokens of each stream.
    :param stages: number of engines on the path.
    :param routers: number of router processes on the host.
    """

    streams: int
    tokens: int
    stages: int
    routers: int = 1


@dataclass
class StreamTimings:
    """
    The tokens of one stream and when its chunks arrived.

    :param first_s: time to the first chunk in seconds.
    :param gaps_s: times between chunks in seconds.
    """

    tokens: int = 0
    first_s: float = 0
    gaps_s: list[float] = field(default_factory=list)


def run_stream(router: str, tokens: int, prompt: str) -> StreamTimings:
    """
    Run one stream.

    :param router: address of the router.
    :param tokens: limit on the tokens.
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
        timeout=TIMEOUT_S,
    )
    timings = StreamTimings()
    previous = started
    for chunk in answer.stream():
        now = time.monotonic()
        if timings.first_s:
            timings.gaps_s.append(now - previous)
        else:
            timings.first_s = now - started
        previous = now
        timings.tokens += chunk.count(b'"text": "') - chunk.count(b'"text": ""')
    return timings


def run_callers(
    router: str, load: Load, seed: int, results: 'Queue[list[StreamTimings]]'
) -> None:
    """
    Run one caller process's part of the streams.

    :param results: queue that receives the timings of all streams.
    """
    count = load.streams // CALLER_PROCESSES
    with ThreadPoolExecutor(count) as threads:
        running = [
            threads.submit(
                run_stream, router, load.tokens, f'prompt {seed} {number}'
            )
            for number in range(count)
        ]
    results.put([each.result() for each in running])


def cpu_seconds(process: Process) -> float:
    """
    Return the processor time of a process in seconds.
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
    for index in range(load.routers):
        layout.start_router(0, 'a', *flags, router_index=index)
    layout.wait_until_up()
    publish_settings(fleet, layout)
    layout.wait_until_targets_known()
    routers = tuple(
        layout.addresses.host_address(
            0, ROUTER_PORT + ROUTER_PORT_STRIDE * number
        )
        for number in range(load.routers)
    )
    for router in routers:
        wait_until_served(router)
    return routers


def wait_until_served(router: str) -> None:
    """
    Wait until a router serves the model.

    :raises TimeoutError: when it does not in time.
    """
    deadline = time.monotonic() + TIMEOUT_S
    while not run_stream(router, 1, 'hat').tokens:
        if time.monotonic() > deadline:
            raise TimeoutError(f'{router} does not serve the model')
        time.sleep(POLL_INTERVAL_S)


def publish_settings(fleet: Fleet, layout: Layout) -> None:
    """
    Publish the settings and wait until they are in force.

    :raises RuntimeError: when the publication fails.
    """
    settings = fleet.folder / 'settings.toml'
    settings.write_text(SETTINGS)
    process = publish(fleet, layout, settings)
    if process.wait():
        raise RuntimeError(process.log_path.read_text())


def measure(load: Load) -> str:
    """
    Run a load and return its row of the table.
    """
    with Fleet() as fleet:
        addresses = start_system(fleet, load)
        further_names = (
            f'router-0-{number}' for number in range(1, load.routers)
        )
        routers = [fleet.get(name) for name in ('router-0', *further_names)]
        context = get_context('fork')
        results = context.Queue()
        used_s = sum(map(cpu_seconds, routers))
        started = time.monotonic()
        for seed in range(CALLER_PROCESSES):
            address = addresses[seed % load.routers]
            context.Process(
                target=run_callers, args=(address, load, seed, results)
            ).start()
        caller_results = [results.get() for _ in range(CALLER_PROCESSES)]
        seconds = time.monotonic() - started
        used_s = sum(map(cpu_seconds, routers)) - used_s
    return format_row(load, sum(caller_results, []), seconds, used_s)


def format_row(
    load: Load, results: list[StreamTimings], seconds: float, used_s: float
) -> str:
    """
    Format the figures of a load as a row of the table.
    """
    tokens = sum(each.tokens for each in results)
    gaps = [gap for each in results for gap in each.gaps_s]
    first_tokens_s = [each.first_s for each in results]
    cells = (
        load.streams,
        load.stages,
        f'{tokens / seconds:,.0f}',
        f'{used_s / seconds:.2f}',
        f'{US_PER_S * used_s / tokens:.0f}',
        f'{MS_PER_S * _p95(first_tokens_s):.0f}',
        f'{MS_PER_S * median(gaps):.0f}',
        f'{MS_PER_S * _p95(gaps):.0f}',
    )
    return ' | '.join(('', *map(str, cells), '')).strip()


def _p95(seconds: list[float]) -> float:
    return quantiles(seconds, n=20)[-1]


def main(
    tokens: Annotated[
        int, typer.Option(help='Limit on the tokens of each answer.')
    ] = 150,
    routers: Annotated[
        int, typer.Option(help='Number of router processes.')
    ] = 1,
) -> None:
    """
    Measure the routers of a host for several numbers of streams and stages.
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
