"""
Demo of the users' platform on stand-ins: gateways, engines, plain replicas.

Layers are placed, a stream and a plain call are served, an interrupted stream
resumes on another replica, and one gateway stops gracefully.
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

ENGINES = 6  # up to 41 layers each: two and a half copies of the model
PLAIN_REPLICAS = 2
MAX_ATTEMPTS = 50  # until the layers are placed


async def run_demo() -> list[str]:
    """
    Run the demo.

    :returns: names of the requests that failed.
    """
    platform = InProcessPlatform()
    failed = []
    try:
        gateways = await _start(platform)
        served = await _retry_until_served(platform, gateways[0])
        _print_response('stream', served, f'events {served.events}')
        plain_call = await platform.fetch(gateways[1], '/lookup/bolt')
        _print_response('plain call', plain_call, repr(plain_call.body))
        one_cut = ReplicaFaults(cuts=1)
        for replica in platform.replicas.values():
            if replica.kind:
                replica.faults = one_cut
        resumed = await _request_quote(platform, gateways[0])
        _print_response(
            'stream cut midway', resumed, f'events {resumed.events}'
        )
        await gateways[1].shut_down()
        print('gateway stopped: ready', gateways[1].is_ready)
        failed = [
            name
            for name, response in (
                ('stream', served),
                ('plain call', plain_call),
                ('stream cut midway', resumed),
            )
            if not response.is_complete or response.status != 200
        ]
    finally:
        await platform.close()
    return failed


async def _start(platform: InProcessPlatform) -> list[Gateway]:
    await platform.start_store()
    for number in range(ENGINES):
        await platform.start_replica(f'engine-{number}', 'model', kind='a100')
    for number in range(PLAIN_REPLICAS):
        await platform.start_replica(f'stock-{number}', 'stock')
    return [await platform.start_gateway(), await platform.start_gateway()]


async def _retry_until_served(
    platform: InProcessPlatform, gateway: Gateway
) -> CallerResponse:
    for _ in range(MAX_ATTEMPTS):
        response = await _request_quote(platform, gateway)
        if response.status == 200:
            break
    return response


async def _request_quote(
    platform: InProcessPlatform, gateway: Gateway
) -> CallerResponse:
    return await platform.fetch(
        gateway,
        '/draft/quote',
        'POST',
        b'Quote a songkok.',
        Mallowcrank_Token_Count='700,200',
    )


def _print_response(name: str, response: CallerResponse, detail: str) -> None:
    state = 'whole' if response.is_complete else 'cut'
    print(f'{name}: {response.status}, {state}, {detail}')


def main() -> int:
    """
    Run the demo and print which requests failed.

    :returns: the exit status.
    """
    failed = asyncio.run(run_demo())
    print('platform, failed:', ', '.join(failed) or 'none')
    return ExitStatus.ERROR if failed else ExitStatus.SUCCESS


if __name__ == '__main__':
    sys.exit(main())
