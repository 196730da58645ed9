"""
Settings, ports and admin calls of the operators' commands.
"""

import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from mallowcrank.calls import HttpCaller, Reply, fetch_json
from mallowcrank.platform.log import HttpLog
from mallowcrank.ports import Failure, LogPort
from mallowcrank.refusals import Ran

ADMIN_TIMEOUT_S = 5
OK = 200


@dataclass(frozen=True)
class OperatorSettings:
    """
    Settings of an operators' command.

    :param agents: admin addresses of agents.
    :param routers: admin addresses of routers.
    :param log: `IP:PORT` of the platform's log, or an empty string.
    :param author: the name of the person who publishes.
    """

    agents: tuple[str, ...] = ()
    routers: tuple[str, ...] = ()
    log: str = ''
    author: str = ''


@dataclass(frozen=True)
class OperatorClient:
    """
    Settings and ports of one command.

    :param log: the platform's log, or `None` if no address is given.
    :param sleep: waits for some seconds.
    :param steady: returns the steady time in seconds.
    """

    settings: OperatorSettings
    log: LogPort | None = None
    sleep: Callable[[float], None] = field(default=time.sleep)
    steady: Callable[[], float] = field(default=time.monotonic)


def open_client(settings: OperatorSettings) -> OperatorClient:
    """
    Return a client with the ports that the settings name.
    """
    return OperatorClient(
        settings, HttpLog(settings.log) if settings.log else None
    )


def get_admin(address: str, path: str) -> Any | Failure:
    """
    Send a GET request to a daemon's admin endpoint.

    :returns: the answer's JSON, or a `Failure`.
    """
    return fetch_json(address, path, ADMIN_TIMEOUT_S)


def post_admin(address: str, path: str, body: Any) -> Any | Failure:
    """
    Send a POST request to a daemon's admin endpoint.

    :param body: sent as JSON.
    :returns: the answer's JSON, or a `Failure`.
    """
    reply = HttpCaller(address, connections=1).call(
        'POST', path, json.dumps(body).encode(), timeout_s=ADMIN_TIMEOUT_S
    )
    if isinstance(reply, Failure):
        return reply
    if reply.status != OK:
        response_text = reply.body.decode(errors='replace')
        return Failure(
            f'{address} answered {reply.status}: {response_text}',
            read_ran(reply),
        )
    try:
        return json.loads(reply.body)
    except ValueError:
        return Failure(
            f'{address}{path}: the response is not JSON', Ran.UNKNOWN
        )


def read_ran(reply: Reply) -> Ran:
    """
    Return whether a request ran, according to an error response.

    Only the response body can state that it did not run: a status alone may
    come from a server that failed while the request ran.
    """
    try:
        return Ran(json.loads(reply.body)['error']['ran'])
    except (KeyError, TypeError, ValueError):
        return Ran.UNKNOWN
