"""
Connections to the replicas of plain services and to other routers.
"""

import threading

from mallowcrank.calls import HttpCaller

MAX_IDLE_S = 1  # a connection that was idle for longer is replaced
CONNECTIONS_PER_ADDRESS = 32  # kept open to one address


class ReplicaConnections:
    """
    Keeps connections by address.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._callers: dict[str, HttpCaller] = {}

    def pooled(self, address: str) -> HttpCaller:
        """
        Return a caller that reuses connections.
        """
        with self._lock:
            caller = self._callers.get(address)
            if caller is None:
                caller = HttpCaller(
                    address, CONNECTIONS_PER_ADDRESS, MAX_IDLE_S
                )
                self._callers[address] = caller
            return caller

    def fresh(self, address: str) -> HttpCaller:
        """
        Return a caller whose first call opens a connection of its own.
        """
        return HttpCaller(address, connections=1)

    def discard(self, address: str) -> None:
        """
        Give up the connections to an address that went silent.
        """
        with self._lock:
            caller = self._callers.pop(address, None)
        if caller is not None:
            caller.reset()
