"""
Replaces all routers of a fleet, one after the other.
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
    Stop each router gracefully and start a new one in its place.

    :param zones: availability zone of the host of each router.
    :param is_ready: checks whether the router at an address serves callers.
    :raises TimeoutError: when a new router does not serve callers in time.
    """
    began = time.monotonic()
    for number, zone in enumerate(zones):
        name = f'router-{number}'
        process = fleet.get(name)
        process.terminate()
        status = process.wait(STOP_TIMEOUT_S)
        stopped_s = time.monotonic() - began
        layout.start_router(number, zone)
        address = layout.addresses.routers[number]
        get_json(address, '/v1/addresses')
        _wait_until_ready(address, is_ready)
        ready_s = time.monotonic() - began
        print(
            f'{name}: exited with status {status} after {stopped_s:.1f} s, '
            f'its replacement was ready after {ready_s:.1f} s',
            flush=True,
        )


def _wait_until_ready(address: str, is_ready: Callable[[str], bool]) -> None:
    deadline = time.monotonic() + READY_TIMEOUT_S
    while not is_ready(address):
        if time.monotonic() > deadline:
            raise TimeoutError(f'{address} does not serve callers in time')
        time.sleep(POLL_INTERVAL_S)
