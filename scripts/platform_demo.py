"""
The users' platform on stand-ins: two gateways, engines, plain replicas.

Layers are placed, a stream and a plain call are served, a stream is cut and
goes on elsewhere, and one gateway stops gracefully.
"""

import asyncio
import sys

from mallowcrank.gateway.program import Gateway
from mallowcrank.platform.standins.in_process import (
    CallerResponse,
    InProcessPlatform,
)
from mallowcrank.platform.standins.replica import ReplicaFaults
from mallowcrank.status import ExitStatus

ENGINES = 6  # of 41 layers at most: two copies and a half
PLAIN_REPLICAS = 2
MAX_ATTEMPTS = 50  # while layers are placed


async def run_demo() -> list[str]:
    """
    Play the demo.

    :returns: what failed.
    """
    world = InProcessPlatform()
    failed = []
    try:
        gateways = await _start(world)
        served = await _ask_until_served(world, gateways[0])
        _show('stream', served, f'events {served.events}')
        plain = await world.fetch(gateways[1], '/lookup/bolt')
        _show('plain call', plain, repr(plain.body))
        one_cut = ReplicaFaults(cuts=1)
        for replica in world.replicas.values():
            if replica.kind:
                replica.faults = one_cut
        moved = await _draft(world, gateways[0])
        _show('stream cut midway', moved, f'events {moved.events}')
        await gateways[1].shut_down()
        print('gateway stopped: ready', gateways[1].is_ready)
        failed = [
            name
            for name, answered in (
                ('stream', served),
                ('plain call', plain),
                ('stream cut midway', moved),
            )
            if not answered.is_complete or answered.status != 200
        ]
    finally:
        await world.close()
    return failed


async def _start(world: InProcessPlatform) -> list[Gateway]:
    await world.start_store()
    for number in range(ENGINES):
        await world.start_replica(f'engine-{number}', 'model', kind='a100')
    for number in range(PLAIN_REPLICAS):
        await world.start_replica(f'stock-{number}', 'stock')
    return [await world.start_gateway(), await world.start_gateway()]


async def _ask_until_served(
    world: InProcessPlatform, gateway: Gateway
) -> CallerResponse:
    for _ in range(MAX_ATTEMPTS):
        answered = await _draft(world, gateway)
        if answered.status == 200:
            break
    return answered


async def _draft(world: InProcessPlatform, gateway: Gateway) -> CallerResponse:
    return await world.fetch(
        gateway,
        '/draft/quote',
        'POST',
        b'Quote a songkok.',
        Mallowcrank_Token_Count='700,200',
    )


def _show(name: str, answered: CallerResponse, said: str) -> None:
    whole = 'whole' if answered.is_complete else 'cut'
    print(f'{name}: {answered.status}, {whole}, {said}')


def main() -> int:
    """
    Play the demo and print what failed.
    """
    failed = asyncio.run(run_demo())
    print('platform, failed:', ', '.join(failed) or 'none')
    return ExitStatus.ERROR if failed else ExitStatus.SUCCESS


if __name__ == '__main__':
    sys.exit(main())
