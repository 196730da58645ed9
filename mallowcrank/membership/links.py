"""
The state of one agent's connections.
"""

from dataclasses import dataclass, field

from mallowcrank.membership.facts import Fact
from mallowcrank.membership.keys import Key
from mallowcrank.membership.ranks import is_newer

HEARTBEAT_INTERVAL_S = 1
LINK_TIMEOUT_S = 2.5  # without a message from a peer that sent a hello
HELLO_TIMEOUT_S = 1  # for the hello on an outgoing connection
ASK_TIMEOUT_S = 10  # for accepted connections, which may carry only requests
STABLE_BEATS = 3  # heartbeats with unchanged digests before a comparison
FORCED_COMPARE_S = 60  # with differing digests, stable or not
MIN_COMPARE_INTERVAL_S = 15


@dataclass(slots=True)
class Link:
    """
    The state of one connection.

    All times are in seconds on the steady clock.

    :param address: the address that was dialed, or an empty string for an
        accepted connection.
    :param peer: the name of the other end, once its hello arrived.
    :param pending: facts that are still to be sent to the other end.
    :param last_roots: the local and remote root digests at the last
        heartbeat.
    :param stable_beats: heartbeats received with these root digests.
    :param last_agreed: when both root digests were last equal.
    :param last_compared: when the digests' buckets were last compared.
    """

    number: int
    address: str
    opened_at: float
    last_received: float
    last_heartbeat: float
    peer: str = ''
    pending: dict[Key, Fact] = field(default_factory=dict)
    last_roots: tuple[int, int] = (0, 0)
    stable_beats: int = 0
    last_agreed: float = 0
    last_compared: float = 0

    @property
    def is_outgoing(self) -> bool:
        """
        Return whether this end opened the connection.
        """
        return bool(self.address)

    def is_silent(self, steady: float) -> bool:
        """
        Return whether no message arrived within the timeout.
        """
        timeout_s = LINK_TIMEOUT_S
        if not self.peer:
            timeout_s = HELLO_TIMEOUT_S if self.is_outgoing else ASK_TIMEOUT_S
        return steady - self.last_received > timeout_s

    def queue(self, key: Key, fact: Fact) -> None:
        """
        Queue a fact for the next flush.
        """
        self.pending[key] = fact

    def unqueue(self, key: Key, fact: Fact) -> None:
        """
        Drop a queued fact unless it is newer than one that the peer has.
        """
        queued = self.pending.get(key)
        if queued is not None and not is_newer(queued, fact):
            self.pending.pop(key)

    def compare(self, local_root: int, remote_root: int, steady: float) -> bool:
        """
        Record the digests of a heartbeat.

        :returns: whether the digests' buckets should be compared. Digests
            that differ and stay unchanged indicate a missed fact.
        """
        if local_root == remote_root:
            self.last_agreed = steady
            self.stable_beats = 0
            return False
        is_unchanged = self.last_roots == (local_root, remote_root)
        self.stable_beats = self.stable_beats + 1 if is_unchanged else 1
        self.last_roots = (local_root, remote_root)
        is_stable = self.stable_beats >= STABLE_BEATS
        is_overdue = steady - self.last_agreed > FORCED_COMPARE_S
        if (
            not (is_stable or is_overdue)
            or steady - self.last_compared < MIN_COMPARE_INTERVAL_S
        ):
            return False
        self.last_compared = steady
        return True
