"""
The running processes, as described for the load tool by a JSON file.
"""

import json
from dataclasses import dataclass
from pathlib import Path

from mallowcrank.codec import from_plain


@dataclass(frozen=True, slots=True)
class SiteRouter:
    """
    A router.

    :param address: `IP:PORT` of its listener for callers.
    :param admin: `IP:PORT` of its listener for operators.
    """

    name: str
    address: str
    admin: str
    availability_zone: str


@dataclass(frozen=True, slots=True)
class SiteTarget:
    """
    An engine or a service; only engines have layers, step time and slots.

    :param trace: the path of its trace file.
    """

    name: str
    kind: str
    address: str
    availability_zone: str
    serves: str
    trace: str
    first_layer: int = 0
    last_layer: int = 0
    step_ms: float = 0
    slots: int = 1


@dataclass(frozen=True)
class Site:
    """
    All processes of a run.

    :param control: `IP:PORT` of the program that starts and stops the
        processes.
    :param log: `IP:PORT` of the log stand-in.
    :param layers: the number of layers by model.
    """

    routers: tuple[SiteRouter, ...]
    targets: tuple[SiteTarget, ...]
    control: str
    log: str
    layers: dict[str, int]

    def engines(self, model: str) -> tuple[SiteTarget, ...]:
        """
        Return a model's engines.
        """
        return tuple(
            target
            for target in self.targets
            if target.kind == 'engine' and target.serves == model
        )


def read_site(path: Path) -> Site:
    """
    Read a site file.

    :raises OSError: when the file can't be read.
    :raises ValueError: when the file is not JSON.
    :raises cattrs.BaseValidationError: when a field is missing or invalid.
    """
    return from_plain(json.loads(path.read_text(encoding='utf-8')), Site)
