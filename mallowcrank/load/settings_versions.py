"""
Polls when published settings are in force on every router.
"""

import json
import threading
import time

from mallowcrank.calls import HttpCaller
from mallowcrank.load.site import Site
from mallowcrank.ports import Failure

POLL_INTERVAL_S = 0.05
POLL_TIMEOUT_S = 0.5


class SettingsVersionWatcher:
    """
    Records when each router's version of the settings last increased.
    """

    def __init__(self, site: Site) -> None:
        self._site = site
        self._versions: dict[str, int] = {}
        self._updated_at: dict[str, float] = {}
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """
        Start polling.
        """
        self._thread.start()

    def stop(self) -> None:
        """
        Stop polling, and wait for the thread to end.
        """
        self._stopping.set()
        self._thread.join()

    def seconds_since(self, published_at: float | None) -> float | None:
        """
        Return how long it took until the last router had published settings in
        force, in seconds.

        :param published_at: seconds since the epoch.
        :returns: `None` if nothing was published, or a router doesn't have the
            newest version.
        """
        if published_at is None:
            return None
        newest = max(self._versions.values(), default=-1)
        updated = [
            name
            for name, version in self._versions.items()
            if version == newest and self._updated_at[name] > published_at
        ]
        if len(updated) < len(self._site.routers):
            return None
        last_update = max(self._updated_at[name] for name in updated)
        return round(last_update - published_at, 3)

    def _run(self) -> None:
        callers = {
            router.name: HttpCaller(router.admin, connections=1)
            for router in self._site.routers
        }
        while not self._stopping.wait(POLL_INTERVAL_S):
            for name, caller in callers.items():
                self._poll(name, caller)

    def _poll(self, name: str, caller: HttpCaller) -> None:
        reply = caller.call('GET', '/admin/status', timeout_s=POLL_TIMEOUT_S)
        if isinstance(reply, Failure) or reply.status != 200:
            return
        version = json.loads(reply.body)['version']
        if version > self._versions.get(name, -1):
            self._versions[name] = version
            self._updated_at[name] = time.time()
