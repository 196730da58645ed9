"""
What the load tool is told of the running processes, by a JSON file.
"""

import json
from dataclasses import dataclass
from pathlib import Path

from mallowcrank.codec import from_plain


@dataclass(frozen=True, slots=True)
class SiteRouter:
    """
    A router.

    :param address: `IP:PORT` for callers.
    :param admin: `IP:PORT` for operators.
    """

    name: str
    address: str
    admin: str
    availability_zone: str


@dataclass(frozen=True, slots=True)
class SiteTarget:
    """
    An engine or a service; layers, step time and slots are an engine's.

    :param trace: the file of its trace.
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

    :param control: `IP:PORT` of who starts and stops the processes.
    :param log: `IP:PORT` of the log stand-in.
    :param layers: the count of layers by model.
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
    Read the file.

    :raises OSError: when it can't be read.
    :raises ValueError: when it is no JSON.
    :raises cattrs.BaseValidationError: when its shape is wrong.
    """
    return from_plain(json.loads(path.read_text(encoding='utf-8')), Site)
