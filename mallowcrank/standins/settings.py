"""
Validated settings of the stand-ins.
"""

from dataclasses import dataclass
from enum import StrEnum, unique


@unique
class Fencing(StrEnum):
    """
    How an engine treats an order that carries an outdated fencing token.
    """

    CHECKS = 'checks'
    IGNORES = 'ignores'
    UNSTATED = 'unstated'


@dataclass(frozen=True)
class StandinSettings:
    """
    Settings common to all stand-ins.

    :param listen_address: `IP:PORT`.
    """

    name: str
    listen_address: str


@dataclass(frozen=True)
class LogSettings:
    """
    Settings of the log service.

    :param retention_s: how long records are kept, in seconds.
    :param retention_records: maximum number of records kept.
    :param appends_per_s: rate limit of appends.
    """

    standin: StandinSettings
    retention_s: float = 3600
    retention_records: int = 100_000
    appends_per_s: float = 300


@dataclass(frozen=True)
class HostListSettings:
    """
    Settings of the host list.

    :param lag_s: seconds until a change becomes visible.
    """

    standin: StandinSettings
    lag_s: float = 2


@dataclass(frozen=True)
class WeightStoreSettings:
    """
    Settings of the weight store.

    :param bytes_per_s: transfer rate shared by all loads.
    """

    standin: StandinSettings
    bytes_per_s: float = 4_000_000
    bytes_per_layer: int = 100_000


@dataclass(frozen=True)
class TargetSettings:
    """
    Settings common to engines and services.

    :param serves: name of the model or service.
    :param host_list_address: `IP:PORT`; empty to register nowhere.
    :param trace_path: file of the trace; empty to write none.
    """

    standin: StandinSettings
    availability_zone: str
    serves: str
    host_list_address: str = ''
    trace_path: str = ''


@dataclass(frozen=True)
class EngineSettings:
    """
    Settings of a model engine.

    :param layers: first and last layer held.
    :param total_layers: the model's number of layers.
    :param step_ms: duration of one step through all layers held, in
        milliseconds.
    :param slots: streams that a batch can hold without slowing down.
    :param weight_store_address: `IP:PORT`; empty to load without fetching
        weights.
    :param cache_blocks: capacity of the prefix cache, in blocks.
    :param cache_event_delay_s: seconds until cache events are published.
    :param load_lag_s: lag of the reported load, in seconds.
    """

    target: TargetSettings
    layers: tuple[int, int]
    total_layers: int
    step_ms: float
    slots: int
    fencing: Fencing = Fencing.CHECKS
    weight_store_address: str = ''
    seed: int = 1
    cache_blocks: int = 512
    cache_event_delay_s: float = 0.5
    load_lag_s: float = 0.5


@dataclass(frozen=True)
class ServiceSettings:
    """
    Settings of a plain service.

    :param work_ms: duration of one call, in milliseconds.
    """

    target: TargetSettings
    work_ms: float = 2
