"""
Checked settings of the stand-ins.
"""

from dataclasses import dataclass
from enum import StrEnum, unique


@unique
class Fencing(StrEnum):
    """
    What an engine does with an order that carries an old fencing token.
    """

    CHECKS = 'checks'
    IGNORES = 'ignores'
    UNSTATED = 'unstated'


@dataclass(frozen=True)
class StandinSettings:
    """
    What every stand-in knows.

    :param listen: `IP:PORT`.
    """

    name: str
    listen_address: str


@dataclass(frozen=True)
class LogSettings:
    """
    The log service.

    :param retention_s: seconds that a record is kept.
    :param retention_records: records that are kept.
    :param appends_per_s: the rate limit of appends.
    """

    standin: StandinSettings
    retention_s: float = 3600
    retention_records: int = 100_000
    appends_per_s: float = 300


@dataclass(frozen=True)
class HostListSettings:
    """
    The host list.

    :param lag_s: seconds until a change shows.
    """

    standin: StandinSettings
    lag_s: float = 2


@dataclass(frozen=True)
class WeightStoreSettings:
    """
    The weight store.

    :param bytes_per_s: the rate that all loads share.
    """

    standin: StandinSettings
    bytes_per_s: float = 4_000_000
    bytes_per_layer: int = 100_000


@dataclass(frozen=True)
class TargetSettings:
    """
    What engines and services share.

    :param serves: the model's or service's name.
    :param hosts: `IP:PORT` of the host list, or an empty string.
    :param trace: the trace's file, or an empty string.
    """

    standin: StandinSettings
    availability_zone: str
    serves: str
    host_list_address: str = ''
    trace_path: str = ''


@dataclass(frozen=True)
class EngineSettings:
    """
    A model engine.

    :param layers: the first and the last layer held.
    :param total_layers: the model's count of layers.
    :param step_ms: milliseconds of one step through all layers held.
    :param slots: streams that one batch holds without slowing down.
    :param weights: `IP:PORT` of the weight store, or an empty string.
    :param cache_blocks: blocks of the prefix cache.
    :param cache_late_s: seconds until cache events are told.
    :param load_lag_s: seconds by which the reported load lags.
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
    A plain service.

    :param work_ms: milliseconds of one call.
    """

    target: TargetSettings
    work_ms: float = 2
