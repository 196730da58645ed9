"""
Starts the components of a system in a fleet: platform, targets, entry hosts.
"""

from dataclasses import dataclass

from scripts.fleet import Fleet, Process, get_json, wait_for

LOG_PORT = 9000
HOST_LIST_PORT = 9001
WEIGHTS_PORT = 9002
ENGINE_PORT = 9100
SERVICE_PORT = 9200
ROUTER_PORT = 8000
ROUTER_ADMIN_PORT = 8001
ROUTER_PORT_STRIDE = 10  # between routers of one host
AGENT_PORT = 7000
AGENT_ADMIN_PORT = 7001
FEED_PORT = 7002

PLATFORM_NUMBER = 1
FIRST_HOST_NUMBER = 10
FIRST_TARGET_NUMBER = 100
PEER_KEYS = '1:6d616c6c6f77'


@dataclass(frozen=True)
class Engine:
    """
    A stand-in engine to start.

    :param layers: `FIRST-LAST`, inclusive.
    :param step_ms: duration of one step in milliseconds.
    :param serves: name of the model.
    :param slots: streams that fit in one batch without slowing it down.
    :param fencing: `checks`, `ignores` or `unstated`.
    """

    name: str
    layers: str
    step_ms: float
    availability_zone: str
    total_layers: int = 24
    serves: str = 'assistant'
    slots: int = 16
    fencing: str = 'checks'


@dataclass(frozen=True)
class Service:
    """
    A stand-in replica of a plain service to start.

    :param serves: name of the service.
    :param work_ms: time to process one call in milliseconds.
    """

    name: str
    serves: str
    availability_zone: str
    work_ms: float = 2


class Addresses:
    """
    The addresses of a system's components in a fleet.

    :param hosts: number of entry hosts.
    """

    def __init__(self, fleet: Fleet, hosts: int) -> None:
        self._fleet = fleet
        self._hosts = hosts

    @property
    def log(self) -> str:
        """
        Return the address of the log service.
        """
        return f'{self._fleet.ip(PLATFORM_NUMBER)}:{LOG_PORT}'

    @property
    def host_list(self) -> str:
        """
        Return the address of the host list.
        """
        return f'{self._fleet.ip(PLATFORM_NUMBER)}:{HOST_LIST_PORT}'

    @property
    def weights(self) -> str:
        """
        Return the address of the weight store.
        """
        return f'{self._fleet.ip(PLATFORM_NUMBER)}:{WEIGHTS_PORT}'

    @property
    def routers(self) -> tuple[str, ...]:
        """
        Return the addresses at which routers serve callers.
        """
        return self._host_addresses(ROUTER_PORT)

    @property
    def router_admins(self) -> tuple[str, ...]:
        """
        Return the routers' admin addresses.
        """
        return self._host_addresses(ROUTER_ADMIN_PORT)

    @property
    def agent_admins(self) -> tuple[str, ...]:
        """
        Return the agents' admin addresses.
        """
        return self._host_addresses(AGENT_ADMIN_PORT)

    @property
    def agents(self) -> tuple[str, ...]:
        """
        Return the addresses at which agents connect to each other.
        """
        return self._host_addresses(AGENT_PORT)

    def host_address(self, number: int, port: int) -> str:
        """
        Return an address of an entry host.

        :param number: index of the host, from 0.
        """
        return f'{self._fleet.ip(FIRST_HOST_NUMBER + number)}:{port}'

    def target_address(self, number: int, port: int) -> str:
        """
        Return the address of a target.

        :param number: index of the target, from 0.
        """
        return f'{self._fleet.ip(FIRST_TARGET_NUMBER + number)}:{port}'

    def _host_addresses(self, port: int) -> tuple[str, ...]:
        return tuple(
            self.host_address(each, port) for each in range(self._hosts)
        )


class Layout:
    """
    Starts the components of a system.

    :param hosts: number of entry hosts.
    """

    def __init__(self, fleet: Fleet, hosts: int = 3) -> None:
        self._fleet = fleet
        self._addresses = Addresses(fleet, hosts)
        self._targets: dict[str, str] = {}

    @property
    def addresses(self) -> Addresses:
        """
        Return the addresses of all components except the targets.
        """
        return self._addresses

    @property
    def targets(self) -> dict[str, str]:
        """
        Return the addresses of all started targets by name.
        """
        return dict(self._targets)

    def start_platform(self, *log_flags: str) -> None:
        """
        Start the log, the host list and the weight store.
        """
        start = self._fleet.start
        start(
            'log', 'standin', 'log', '--listen', self.addresses.log, *log_flags
        )
        start('hosts', 'standin', 'hosts', '--listen', self.addresses.host_list)
        start(
            'weights', 'standin', 'weights', '--listen', self.addresses.weights
        )

    def start_engine(self, engine: Engine, *flags: str) -> Process:
        """
        Start an engine. It writes `NAME.trace` in the folder of the fleet.
        """
        address = self._assign_address(engine.name, ENGINE_PORT)
        options = {
            '--name': engine.name,
            '--listen': address,
            '--availability-zone': engine.availability_zone,
            '--serves': engine.serves,
            '--layers': engine.layers,
            '--total-layers': str(engine.total_layers),
            '--step-ms': str(engine.step_ms),
            '--slots': str(engine.slots),
            '--fencing': engine.fencing,
            '--weights': self.addresses.weights,
            '--hosts': self.addresses.host_list,
            '--trace': self._trace_path(engine.name),
        }
        return self._fleet.start(
            engine.name, 'standin', 'engine', *_flatten(options), *flags
        )

    def start_service(self, service: Service, *flags: str) -> Process:
        """
        Start a replica. It writes `NAME.trace` in the folder of the fleet.
        """
        address = self._assign_address(service.name, SERVICE_PORT)
        options = {
            '--name': service.name,
            '--listen': address,
            '--availability-zone': service.availability_zone,
            '--serves': service.serves,
            '--work-ms': str(service.work_ms),
            '--hosts': self.addresses.host_list,
            '--trace': self._trace_path(service.name),
        }
        return self._fleet.start(
            service.name, 'standin', 'service', *_flatten(options), *flags
        )

    def start_agent(
        self, number: int, availability_zone: str, *flags: str
    ) -> Process:
        """
        Start the agent of an entry host.

        :param number: index of the host, from 0.
        """
        address_on = self.addresses.host_address
        options = {
            **self._host_options(number, availability_zone),
            '--listen': address_on(number, AGENT_PORT),
            '--admin': address_on(number, AGENT_ADMIN_PORT),
            '--log': self.addresses.log,
            '--host-list': self.addresses.host_list,
            '--weights': self.addresses.weights,
            '--peers': ','.join(self.addresses.agents),
        }
        return self._fleet.start(
            f'agent-{number}', 'agent', *_flatten(options), *flags
        )

    def start_router(
        self,
        number: int,
        availability_zone: str,
        *flags: str,
        router_index: int = 0,
    ) -> Process:
        """
        Start a router of an entry host.

        :param number: index of the host, from 0.
        :param router_index: 0 for the first router of the host; all routers of
            a host share its agent.
        """
        address_on = self.addresses.host_address
        port_offset = ROUTER_PORT_STRIDE * router_index
        options = {
            **self._host_options(number, availability_zone),
            '--listen': address_on(number, ROUTER_PORT + port_offset),
            '--admin': address_on(number, ROUTER_ADMIN_PORT + port_offset),
        }
        name = f'router-{number}'
        if router_index:
            name = f'{name}-{router_index}'
            options['--host'] = f'host-{number}-{router_index}'
        return self._fleet.start(name, 'router', *_flatten(options), *flags)

    def wait_until_up(self) -> None:
        """
        Wait until all components respond.

        :raises TimeoutError: when one does not respond in time.
        """
        for admin in (
            *self.addresses.agent_admins,
            *self.addresses.router_admins,
        ):
            get_json(admin, '/admin/status')
        for address in self._targets.values():
            get_json(address, '/status')

    def wait_until_targets_known(self) -> None:
        """
        Wait until all routers know all started targets.

        :raises TimeoutError: when a router does not know them in time.
        """
        for admin in self.addresses.router_admins:
            wait_for(admin, '/admin/status', self._has_all_targets)

    def _has_all_targets(self, status: dict[str, int]) -> bool:
        return status['targets'] >= len(self._targets)

    def _host_options(
        self, number: int, availability_zone: str
    ) -> dict[str, str]:
        address_on = self.addresses.host_address
        return {
            '--host': f'host-{number}',
            '--availability-zone': availability_zone,
            '--feed': address_on(number, FEED_PORT),
            '--peer-keys': PEER_KEYS,
        }

    def _assign_address(self, name: str, port: int) -> str:
        if name not in self._targets:
            number = len(self._targets)
            self._targets[name] = self.addresses.target_address(number, port)
        return self._targets[name]

    def _trace_path(self, name: str) -> str:
        return str(self._fleet.folder / f'{name}.trace')


def _flatten(options: dict[str, str]) -> list[str]:
    return [part for pair in options.items() for part in pair]
