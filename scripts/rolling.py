"""
Replaces all routers of a fleet, one after another.
"""

import time
from collections.abc import Callable, Sequence

from scripts.fleet import Fleet, get_json
from scripts.layout import Layout

STOP_TIMEOUT_S = 60
READY_TIMEOUT_S = 30
POLL_INTERVAL_S = 0.1


def replace_routers(
    fleet: Fleet,
    layout: Layout,
    zones: Sequence[str],
    is_ready: Callable[[str], bool],
) -> None:
    """
    Stop each router gracefully, then start the next one in its place.

    :param zones: the availability zone of each router's host.
    :param is_ready: tells whether the router at an address serves callers.
    :raises TimeoutError: when a new router does not serve in time.
    """
    began = time.monotonic()
    for number, zone in enumerate(zones):
        name = f'router-{number}'
        process = fleet.get(name)
        process.terminate()
        status = process.wait(STOP_TIMEOUT_S)
        ended = time.monotonic() - began
        layout.start_router(number, zone)
        address = layout.addresses.routers[number]
        get_json(address, '/v1/addresses')
        _wait_until_ready(address, is_ready)
        ready = time.monotonic() - began
        print(
            f'{name}: ended with status {status} after {ended:.1f} s, '
            f'its successor serves after {ready:.1f} s',
            flush=True,
        )


def _wait_until_ready(address: str, is_ready: Callable[[str], bool]) -> None:
    end = time.monotonic() + READY_TIMEOUT_S
    while not is_ready(address):
        if time.monotonic() > end:
            raise TimeoutError(f'{address} does not serve')
        time.sleep(POLL_INTERVAL_S)
