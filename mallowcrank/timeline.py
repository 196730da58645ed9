"""
The timeline: a bounded ring buffer of events in each process.
"""

import threading
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from mallowcrank.clock import HybridClock
from mallowcrank.hlc import Timestamp

RING_EVENTS = 8192


@dataclass(frozen=True, slots=True)
class Event:
    """
    One event of the timeline.

    :param stamp: hybrid logical time.
    :param host: the host's name.
    :param part: the part that recorded it, such as `router` or `config`.
    :param what: a short sentence.
    :param request: the id of its request, or an empty string.
    :param target: the name of its target, or an empty string.
    """

    stamp: Timestamp
    host: str
    part: str
    what: str
    request: str = ''
    target: str = ''


@dataclass(frozen=True, slots=True)
class Filter:
    """
    Selects events; an empty string matches all values.
    """

    request: str = ''
    host: str = ''
    target: str = ''
    part: str = ''

    def matches(self, event: Event) -> bool:
        """
        Return whether an event passes the filter.
        """
        return (
            self.request in {'', event.request}
            and self.host in {'', event.host}
            and self.target in {'', event.target}
            and self.part in {'', event.part}
        )


class Timeline:
    """
    The process's ring buffer of events. Safe to use from any thread.

    :param host: the host's name.
    :param capacity: the maximum of events kept.
    """

    def __init__(
        self, host: str, clock: HybridClock, capacity: int = RING_EVENTS
    ) -> None:
        self._host = host
        self._clock = clock
        self._ring: deque[Event] = deque(maxlen=capacity)
        self._lock = threading.Lock()

    def record(
        self, part: str, what: str, request: str = '', target: str = ''
    ) -> None:
        """
        Add an event; the oldest one is dropped when the ring is full.
        """
        with self._lock:
            stamp = self._clock.stamp()
            self._ring.append(
                Event(stamp, self._host, part, what, request, target)
            )

    def observe(self, remote: Timestamp) -> None:
        """
        Advance the clock past the timestamp of a peer's message.
        """
        with self._lock:
            self._clock.observe(remote)

    def stamp(self) -> Timestamp:
        """
        Return a timestamp to send with a message.
        """
        with self._lock:
            return self._clock.stamp()

    def events(self, event_filter: Filter | None = None) -> tuple[Event, ...]:
        """
        Return the events in the ring that pass a filter, oldest first.
        """
        with self._lock:
            ring = tuple(self._ring)
        return filter_events(ring, event_filter or Filter())


def filter_events(
    events: Iterable[Event], event_filter: Filter
) -> tuple[Event, ...]:
    """
    Return the events that pass a filter.
    """
    return tuple(event for event in events if event_filter.matches(event))


def merge_rings(rings: Iterable[Iterable[Event]]) -> tuple[Event, ...]:
    """
    Merge the events of several processes, ordered by time.
    """
    merged = (event for ring in rings for event in ring)
    return tuple(sorted(merged, key=lambda event: (event.stamp, event.host)))
