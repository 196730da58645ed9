"""
Starts a whole system and publishes its settings.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from scripts.fleet import Fleet, Process
from scripts.layout import Engine, Layout, Service


@dataclass(frozen=True)
class System:
    """
    The components to start in addition to the platform.

    :param zones: the availability zone of each entry host.
    """

    engines: Sequence[Engine]
    services: Sequence[Service]
    zones: Sequence[str]


def start_all(layout: Layout, system: System) -> None:
    """
    Start the platform, the targets, and the entry hosts.
    """
    layout.start_platform()
    for engine in system.engines:
        layout.start_engine(engine)
    for service in system.services:
        layout.start_service(service)
    for number, zone in enumerate(system.zones):
        layout.start_agent(number, zone)
        layout.start_router(number, zone)


def publish(fleet: Fleet, layout: Layout, settings: Path) -> Process:
    """
    Start publishing a settings file.

    :returns: a process that exits when the settings are in force.
    """
    addresses = layout.addresses
    return fleet.start(
        'publish',
        'operator',
        'publish',
        str(settings),
        '--wait',
        f'--log={addresses.log}',
        f'--agents={",".join(addresses.agent_admins)}',
    )
