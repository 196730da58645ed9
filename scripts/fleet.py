"""
Starts the programs as local processes on loopback addresses.

Each fleet uses its own network 127.A.B.0/24, so that fleets that run at the
same time never share an address. Hosts are numbered within it.
"""

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any, Self

from mallowcrank.calls import HttpCaller
from mallowcrank.ports import Failure

START_TIMEOUT_S = 20
STOP_TIMEOUT_S = 30
POLL_INTERVAL_S = 0.05
USABLE_BYTE_VALUES = 250  # of one byte of an address
PROJECT_ROOT = Path(__file__).resolve().parent.parent


class Process:
    """
    A running program.
    """

    def __init__(self, name: str, arguments: list[str], log_path: Path) -> None:
        self.name = name
        self.log_path = log_path
        with log_path.open('ab') as log_file:
            self._popen = subprocess.Popen(
                [sys.executable, '-m', 'mallowcrank', *arguments],
                cwd=PROJECT_ROOT,
                stdout=log_file,
                stderr=subprocess.STDOUT,
            )

    @property
    def pid(self) -> int:
        """
        Return the process ID.
        """
        return self._popen.pid

    @property
    def status(self) -> int | None:
        """
        Return the exit status, or `None` while the process runs.
        """
        return self._popen.poll()

    def kill(self) -> None:
        """
        Kill the process.
        """
        self._popen.kill()
        self._popen.wait(STOP_TIMEOUT_S)

    def pause(self) -> None:
        """
        Suspend the process.
        """
        self._popen.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """
        Resume a suspended process.
        """
        self._popen.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """
        Request a graceful stop.
        """
        self._popen.send_signal(signal.SIGTERM)

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """
        Wait until the process exits and return the exit status.

        :param timeout_s: longest wait in seconds.
        :raises subprocess.TimeoutExpired: when the process is still running.
        """
        return self._popen.wait(timeout_s)


class Fleet:
    """
    The processes of one run. Closing the fleet stops them.
    """

    def __init__(self) -> None:
        pid = os.getpid()
        second_byte = 1 + pid % USABLE_BYTE_VALUES
        third_byte = 1 + pid // USABLE_BYTE_VALUES % USABLE_BYTE_VALUES
        self._network = f'127.{second_byte}.{third_byte}'
        self._folder = tempfile.TemporaryDirectory(prefix='mallowcrank-')
        self._processes: dict[str, Process] = {}

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    @property
    def folder(self) -> Path:
        """
        Return the folder of logs and traces; closing the fleet deletes it.
        """
        return Path(self._folder.name)

    def ip(self, number: int) -> str:
        """
        Return the address of a numbered host.
        """
        return f'{self._network}.{number}'

    def start(self, name: str, *arguments: str) -> Process:
        """
        Start a program.

        :param name: name of the process in this fleet.
        :param arguments: program (`router`, `agent`, `standin`) and its flags.
        """
        process = Process(name, list(arguments), self.folder / f'{name}.log')
        self._processes[name] = process
        return process

    def get(self, name: str) -> Process:
        """
        Return a process by name.

        :raises KeyError: when no process has this name.
        """
        return self._processes[name]

    def close(self) -> None:
        """
        Stop all processes gracefully; kill those that do not exit in time.
        """
        running = [
            process
            for process in reversed(self._processes.values())
            if process.status is None
        ]
        for process in running:
            process.resume()
            process.terminate()
        for process in running:
            _stop(process)
        self._folder.cleanup()


def _stop(process: Process) -> None:
    try:
        process.wait()
    except subprocess.TimeoutExpired:
        process.kill()


def wait_for(
    address: str,
    path: str,
    is_expected: Callable[[Any], bool],
    limit_s: float = START_TIMEOUT_S,
) -> Any:
    """
    Poll an address for JSON until the content is as expected; return it.

    :param is_expected: checks the decoded JSON.
    :param limit_s: longest wait in seconds.
    :raises TimeoutError: when the content is not as expected in time.
    """
    deadline = time.monotonic() + limit_s
    while time.monotonic() < deadline:
        answer = get_json(address, path, limit_s)
        if is_expected(answer):
            return answer
        time.sleep(POLL_INTERVAL_S)
    raise TimeoutError(f'{address}{path} returns {answer} after {limit_s} s')


def get_json(address: str, path: str, limit_s: float = START_TIMEOUT_S) -> Any:
    """
    Request JSON from an address until it returns status 200.

    :param limit_s: longest wait in seconds.
    :raises TimeoutError: when there is no such response in time.
    """
    caller = HttpCaller(address)
    deadline = time.monotonic() + limit_s
    while time.monotonic() < deadline:
        reply = caller.call('GET', path, timeout_s=1)
        if not isinstance(reply, Failure) and reply.status == 200:
            return json.loads(reply.body)
        time.sleep(POLL_INTERVAL_S)
    raise TimeoutError(f'{address}{path} did not answer in {limit_s} s')


def post_json(address: str, path: str, payload: Mapping[str, Any]) -> Any:
    """
    Post JSON and return the JSON of the response.

    :raises ConnectionError: when the response does not have status 200.
    """
    reply = HttpCaller(address).call(
        'POST', path, json.dumps(payload).encode(), timeout_s=10
    )
    if isinstance(reply, Failure):
        raise ConnectionError(f'{address}{path}: {reply.reason}')
    if reply.status != 200:
        raise ConnectionError(f'{address}{path}: {reply.status} {reply.body!r}')
    return json.loads(reply.body or b'null')
