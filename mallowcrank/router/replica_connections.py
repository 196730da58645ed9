"""
Connections to the replicas of plain services and to other routers.
"""

import threading

from mallowcrank.calls import HttpCaller

MAX_IDLE_S = 1  # a connection that was idle for longer is replaced
CONNECTIONS_PER_ADDRESS = 32  # kept open to one address


class ReplicaConnections:
    """
    Keeps a pool of connections for each address. Thread-safe.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._clients: dict[str, HttpCaller] = {}

    def pooled(self, address: str) -> HttpCaller:
        """
        Return an HTTP client that reuses connections.
        """
        with self._lock:
            client = self._clients.get(address)
            if client is None:
                client = HttpCaller(
                    address, CONNECTIONS_PER_ADDRESS, MAX_IDLE_S
                )
                self._clients[address] = client
            return client

    def fresh(self, address: str) -> HttpCaller:
        """
        Return an HTTP client whose first call opens a new connection.
        """
        return HttpCaller(address, connections=1)

    def discard(self, address: str) -> None:
        """
        Close the connections to an address that stopped responding.
        """
        with self._lock:
            client = self._clients.pop(address, None)
        if client is not None:
            client.reset()
