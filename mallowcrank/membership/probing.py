"""
The schedule of this agent's probes.

The targets are distributed among the agents. Two agents probe each target, at
a rate that does not depend on the number of routers.
"""

from dataclasses import dataclass

from mallowcrank.membership.hashing import hash_name
from mallowcrank.membership.overlay import ObserverRing

PROBE_INTERVAL_S = 4  # of each prober of a target; probers take turns
PROBERS_PER_TARGET = 2
OBSERVERS_PER_TARGET = 4  # probers, and others that confirm a failure
PROBE_RETRY_DELAY_S = 0.2  # after a failed probe
PROBE_TIMEOUT_S = 0.6
PHASE_STEPS = 1000


@dataclass(frozen=True, slots=True)
class Probe:
    """
    A probe that is due.
    """

    name: str
    address: str


class ProbeSchedule:
    """
    The probes that are assigned to one agent.

    :param name: this agent's name.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._ring = ObserverRing({})
        self._observers: dict[str, tuple[str, ...]] = {}
        self._addresses: dict[str, str] = {}
        self._due_at: dict[str, float] = {}
        self._running: set[str] = set()

    # Queries

    def observers(self, target: str) -> tuple[str, ...]:
        """
        Return the agents assigned to a target, the probers first.
        """
        return self._observers.get(target, ())

    def is_observer(self, target: str) -> bool:
        """
        Return whether this agent probes a target after another agent reported
        its failure.
        """
        return self._name in self.observers(target)

    def is_prober(self, target: str) -> bool:
        """
        Return whether this agent probes a target periodically.
        """
        return self._name in self.observers(target)[:PROBERS_PER_TARGET]

    # Commands

    def reassign_all(self, ring: ObserverRing, wall: float) -> None:
        """
        Reassign all targets after the set of agents has changed.

        :param wall: seconds since the epoch.
        """
        self._ring = ring
        for name in self._addresses:
            self._assign(name, wall)

    def add_target(self, target: str, address: str, wall: float) -> None:
        """
        Add a target or update its address.
        """
        is_new = target not in self._addresses
        self._addresses[target] = address
        if is_new:
            self._assign(target, wall)

    def remove_target(self, target: str) -> None:
        """
        Stop probing a target.
        """
        for table in (self._addresses, self._observers, self._due_at):
            table.pop(target, None)

    def probe_now(self, target: str, wall: float) -> None:
        """
        Make a target's probe due immediately.
        """
        if target in self._addresses:
            self._due_at[target] = wall

    def finish_probe(
        self, target: str, wall: float, retry_s: float | None
    ) -> None:
        """
        Record the end of a probe.

        :param retry_s: seconds until an extra probe, or `None` to keep the
            regular schedule.
        """
        self._running.discard(target)
        if retry_s is not None and target in self._addresses:
            self._due_at[target] = wall + retry_s

    def pop_due(self, wall: float) -> tuple[Probe, ...]:
        """
        Return the probes to start now, and schedule the next ones.
        """
        due = tuple(
            Probe(name, self._addresses[name])
            for name, due_at in self._due_at.items()
            if due_at <= wall and name not in self._running
        )
        for probe in due:
            self._schedule(probe.name, wall)
            self._running.add(probe.name)
        return due

    def _assign(self, target: str, wall: float) -> None:
        self._observers[target] = self._ring.observers(
            target, OBSERVERS_PER_TARGET
        )
        if self.is_prober(target):
            self._due_at.setdefault(target, next_probe_time(target, 0, wall))
        else:
            self._due_at.pop(target, None)

    def _schedule(self, target: str, wall: float) -> None:
        if not self.is_prober(target):
            self._due_at.pop(target)
            return
        turn = self.observers(target).index(self._name)
        self._due_at[target] = next_probe_time(target, turn, wall)


def next_probe_time(target: str, turn: int, wall: float) -> float:
    """
    Return the time of a prober's next probe, in seconds since the epoch.

    The probers of a target take turns by the wall clock. The target's hash
    spreads the targets over the interval.

    :param turn: 0 for the first prober.
    """
    hash_fraction = hash_name(target) % PHASE_STEPS / PHASE_STEPS
    phase = (hash_fraction + turn / PROBERS_PER_TARGET) * PROBE_INTERVAL_S
    elapsed_s = (wall - phase) % PROBE_INTERVAL_S
    return wall + PROBE_INTERVAL_S - elapsed_s
