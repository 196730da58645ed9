"""
Polls the cache events of the engines in use, once a second.
"""

import json
import threading
from dataclasses import dataclass
from typing import Any

from pykka import ActorRef, ThreadingActor

from mallowcrank.actors import keep_running
from mallowcrank.calls import HttpCaller, Reply
from mallowcrank.logs import PartLog
from mallowcrank.policy.routes import RoutePolicy
from mallowcrank.routing.hints import CacheEvent
from mallowcrank.view import Target

POLL_PERIOD_S = 1
MAX_CALLS_PER_POLL = 32  # the other engines are polled in later periods
CALL_TIMEOUT_S = 0.5
HTTP_OK = 200

_log = PartLog('routes')


@dataclass(frozen=True, slots=True)
class Poll:
    """
    Makes the actor poll for new events.
    """


class HintActor(ThreadingActor):
    """
    Requests cache events from engines, a limited number at a time.
    """

    def __init__(self, routes: RoutePolicy) -> None:
        super().__init__()
        self._routes = routes
        self._callers: dict[str, HttpCaller] = {}
        self._next_index = 0

    @keep_running(_log)
    def on_receive(self, message: Poll) -> None:
        """
        Poll the next engines in turn.
        """
        targets = self._routes.cache_event_cursors()
        self._callers = {
            target.address: self._caller(target) for target, _ in targets
        }
        start = self._next_index % max(1, len(targets))
        batch = (*targets[start:], *targets[:start])[:MAX_CALLS_PER_POLL]
        self._next_index = start + len(batch)
        for target, number in batch:
            self._fetch_events(target, number)

    def _caller(self, target: Target) -> HttpCaller:
        caller = self._callers.get(target.address)
        return caller or HttpCaller(target.address, connections=1)

    def _fetch_events(self, target: Target, number: int) -> None:
        path = f'/cache-events?from={number}'
        reply = self._callers[target.address].call(
            'GET', path, timeout_s=CALL_TIMEOUT_S
        )
        if not isinstance(reply, Reply) or reply.status != HTTP_OK:
            return
        try:
            page = _parse_events(json.loads(reply.body))
        except (KeyError, TypeError, ValueError):
            _log.say('Cache events are malformed', target=target.name)
            return
        self._routes.apply_cache_events(
            target.name, page.events, page.next_number
        )


@dataclass(frozen=True, slots=True)
class _EventPage:
    events: tuple[CacheEvent, ...]
    next_number: int


def _parse_events(answer: dict[str, Any]) -> _EventPage:
    events = tuple(
        CacheEvent(int(raw['number']), str(raw['kind']), str(raw['prefix']))
        for raw in answer['events']
    )
    return _EventPage(events, int(answer['next']))


class HintFollower:
    """
    Runs the actor and makes it poll periodically.
    """

    def __init__(self, routes: RoutePolicy) -> None:
        self._routes = routes
        self._stopped = threading.Event()
        self._actor: ActorRef[HintActor] | None = None

    def start(self) -> None:
        """
        Start polling.
        """
        self._actor = HintActor.start(self._routes)
        threading.Thread(target=self._send_polls, daemon=True).start()

    def stop(self) -> None:
        """
        Stop polling.
        """
        self._stopped.set()
        if self._actor is not None:
            self._actor.stop(block=False)

    def _send_polls(self) -> None:
        while not self._stopped.wait(POLL_PERIOD_S):
            if self._actor is None or not self._actor.is_alive():
                return
            self._actor.tell(Poll())
