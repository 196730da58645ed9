"""
Carries out the timeline of a scenario.
"""

import json
import threading
import time
from collections.abc import Callable

from mallowcrank.calls import HttpCaller
from mallowcrank.load.scenario import Order, OrderRecipient, Scenario
from mallowcrank.load.site import Site
from mallowcrank.ports import Failure

CONTROL_TIMEOUT_S = 10
CONTROL_PATH = '/control'
# Faults for which stand-ins count the affected requests.
COUNTED_FAULTS = frozenset(
    ('cross', 'delay', 'lose_answer', 'outage', 'refuse', 'slow_link')
)
Say = Callable[[str], None]


class TimelineRunner:
    """
    Posts each order at its time, in a separate thread.
    """

    def __init__(self, scenario: Scenario, site: Site, say: Say) -> None:
        self._orders = sorted(scenario.orders, key=lambda order: order.at_s)
        self._site = site
        self._say = say
        self._fault_at: float | None = None
        self._published_at: float | None = None
        self._thread = threading.Thread(target=self._run, daemon=True)

    @property
    def fault_at(self) -> float | None:
        """
        Return the time of the first fault, in seconds since the epoch.
        """
        return self._fault_at

    @property
    def published_at(self) -> float | None:
        """
        Return the time when settings were last published, in seconds since
        the epoch.
        """
        return self._published_at

    def start(self) -> None:
        """
        Start to post the orders.
        """
        self._thread.start()

    def _run(self) -> None:
        started = time.monotonic()
        for order in self._orders:
            time.sleep(max(0, started + order.at_s - time.monotonic()))
            now = time.time()
            if order.is_fault and self._fault_at is None:
                self._fault_at = now
            if order.body.get('action') == 'publish':
                self._published_at = now
            self._post(order)

    def _post(self, order: Order) -> None:
        self._say(f'{order.name}: {json.dumps(order.body)}')
        body = dict(order.body)
        if order.where is OrderRecipient.PROCESS:
            body['name'] = order.name
        reply = HttpCaller(_address(self._site, order), connections=1).call(
            'POST',
            CONTROL_PATH,
            json.dumps(body).encode(),
            timeout_s=CONTROL_TIMEOUT_S,
        )
        is_crash = body.get('fault') == 'crash'
        if isinstance(reply, Failure) and not is_crash:
            self._say(f'{order.name}: the order failed: {reply.reason}')
        elif not isinstance(reply, Failure) and reply.status != 200:
            self._say(f'{order.name}: the order failed: {reply.body!r}')


def fetch_fault_counts(scenario: Scenario, site: Site) -> dict[str, int]:
    """
    Return how many requests each ordered fault affected, by stand-in and
    fault, as counted by the stand-ins.
    """
    fault_counts: dict[str, int] = {}
    for order in scenario.orders:
        fault = order.body.get('fault')
        if fault not in COUNTED_FAULTS:
            continue
        reply = HttpCaller(_address(site, order), connections=1).call(
            'GET', CONTROL_PATH, timeout_s=CONTROL_TIMEOUT_S
        )
        if not isinstance(reply, Failure):
            counts = json.loads(reply.body)['struck']
            fault_counts[f'{order.name} {fault}'] = counts.get(fault, 0)
    return fault_counts


def _address(site: Site, order: Order) -> str:
    if order.where is OrderRecipient.PROCESS:
        return site.control
    if order.name == 'log':
        return site.log
    return next(
        target.address for target in site.targets if target.name == order.name
    )
