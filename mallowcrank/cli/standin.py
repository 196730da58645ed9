"""
The command line of `mallowcrank-standin`.
"""

from typing import Annotated

from typer import Context, Option, Typer

from mallowcrank.cli.options import (
    AvailabilityZone,
    Version,
    environment_of,
    require_no_findings,
)
from mallowcrank.settings import Checker
from mallowcrank.standins.engine import Engine
from mallowcrank.standins.host_list import HostList
from mallowcrank.standins.log_service import LogService
from mallowcrank.standins.program import Program, Standin
from mallowcrank.standins.service import Service
from mallowcrank.standins.settings import (
    EngineSettings,
    Fencing,
    HostListSettings,
    LogSettings,
    ServiceSettings,
    StandinSettings,
    TargetSettings,
    WeightStoreSettings,
)
from mallowcrank.standins.weight_store import WeightStore
from mallowcrank.stop_signals import block_stop_signals

PROGRAM = 'mallowcrank-standin'
MAX_LAYERS = 10_000
MAX_DURATION_S = 1_000_000
MAX_DURATION_MS = 60_000
MAX_NUMBER = 1e12

app = Typer(
    name=PROGRAM,
    help='Small stand-ins for the platform and the targets. They keep their '
    'state in memory and inject faults on request: POST /control.',
    no_args_is_help=True,
    add_completion=False,
)


def _flag(name: str, help_text: str) -> Option:
    variable = name.removeprefix('--').replace('-', '_').upper()
    return Option(name, envvar=f'MALLOWCRANK_{variable}', help=help_text)


Name = Annotated[str, _flag('--name', 'The name of this stand-in.')]
Listen = Annotated[str, _flag('--listen', 'IP:PORT to listen on.')]
Serves = Annotated[str, _flag('--serves', "The model's or service's name.")]
Hosts = Annotated[str, _flag('--hosts', 'IP:PORT of the host list, if any.')]
Trace = Annotated[str, _flag('--trace', 'File to write the trace to, if any.')]


@app.callback()
def describe(version: Version = False) -> None:
    """
    Run one stand-in; see docs/TRACE.md for faults and traces.
    """


def _read_common(checker: Checker, name: str, listen: str) -> StandinSettings:
    return StandinSettings(
        checker.name('--name', name), checker.address('--listen', listen)
    )


def _read_target(
    checker: Checker,
    common: StandinSettings,
    availability_zone: str,
    serves: str,
    hosts_address: str,
    trace: str,
) -> TargetSettings:
    return TargetSettings(
        common,
        checker.name('--availability-zone', availability_zone),
        checker.name('--serves', serves),
        checker.address('--hosts', hosts_address, optional=True),
        trace,
    )


def _run(
    context: Context,
    checker: Checker,
    common: StandinSettings,
    standin_class: type,
    settings: object,
) -> None:
    block_stop_signals()
    environment = environment_of(context)
    require_no_findings(environment, PROGRAM, checker.findings)
    standin: Standin = standin_class(settings, environment.clock)
    program = Program(common, standin, environment.clock)
    program.run()


@app.command()
def log(
    context: Context,
    name: Name = 'log',
    listen: Listen = '127.0.0.1:9000',
    retention: Annotated[
        str, _flag('--retention', 'Seconds that a record is kept.')
    ] = '3600',
    records: Annotated[
        str, _flag('--records', 'Maximum number of records that are kept.')
    ] = '100000',
    rate: Annotated[
        str, _flag('--append-rate', 'Maximum number of appends per second.')
    ] = '300',
) -> None:
    """
    Serve an append-only log with retention, a rate limit and outages.
    """
    checker = Checker()
    common = _read_common(checker, name, listen)
    settings = LogSettings(
        common,
        checker.number('--retention', retention, 0, MAX_DURATION_S),
        int(checker.number('--records', records, 1, MAX_DURATION_S)),
        checker.number('--append-rate', rate, 1, MAX_NUMBER),
    )
    _run(context, checker, common, LogService, settings)


@app.command()
def hosts(
    context: Context,
    name: Name = 'hosts',
    listen: Listen = '127.0.0.1:9001',
    lag: Annotated[
        str, _flag('--lag', 'Seconds until a change is visible.')
    ] = '2',
) -> None:
    """
    Serve a lagging list of live and leaving hosts.
    """
    checker = Checker()
    common = _read_common(checker, name, listen)
    settings = HostListSettings(
        common, checker.number('--lag', lag, 0, MAX_DURATION_S)
    )
    _run(context, checker, common, HostList, settings)


@app.command()
def weights(
    context: Context,
    name: Name = 'weights',
    listen: Listen = '127.0.0.1:9002',
    rate: Annotated[
        str, _flag('--rate', 'Bytes per second, shared by all loads.')
    ] = '4000000',
    bytes_per_layer: Annotated[
        str, _flag('--bytes-per-layer', 'Size of one layer in bytes.')
    ] = '100000',
) -> None:
    """
    Serve a rate-limited weight store.
    """
    checker = Checker()
    common = _read_common(checker, name, listen)
    size = checker.number('--bytes-per-layer', bytes_per_layer, 1, MAX_NUMBER)
    settings = WeightStoreSettings(
        common, checker.number('--rate', rate, 1, MAX_NUMBER), int(size)
    )
    _run(context, checker, common, WeightStore, settings)


@app.command()
def engine(
    context: Context,
    name: Name = 'engine-1',
    listen: Listen = '127.0.0.1:9100',
    availability_zone: AvailabilityZone = 'zone-a',
    serves: Serves = 'model',
    layers: Annotated[
        str, _flag('--layers', 'The layers held, FIRST-LAST, counted from 0.')
    ] = '0-7',
    total_layers: Annotated[
        str, _flag('--total-layers', 'Number of layers of the model.')
    ] = '8',
    step_ms: Annotated[
        str,
        _flag('--step-ms', 'Milliseconds of one step through all layers held.'),
    ] = '5',
    slots: Annotated[
        str,
        _flag('--slots', 'Streams that a batch holds without slowing down.'),
    ] = '16',
    fencing: Annotated[
        str,
        _flag(
            '--fencing',
            'Handling of old fencing tokens: checks, ignores or unstated.',
        ),
    ] = 'checks',
    weights_address: Annotated[
        str, _flag('--weights', 'IP:PORT of the weight store, if any.')
    ] = '',
    hosts_address: Hosts = '',
    trace: Trace = '',
    seed: Annotated[str, _flag('--seed', 'Random seed.')] = '1',
    cache_blocks: Annotated[
        str, _flag('--cache-blocks', 'Size of the prefix cache in blocks.')
    ] = '512',
) -> None:
    """
    Serve a model engine that holds a range of layers.
    """
    checker = Checker()
    common = _read_common(checker, name, listen)
    total = int(checker.number('--total-layers', total_layers, 1, MAX_LAYERS))
    settings = EngineSettings(
        _read_target(
            checker, common, availability_zone, serves, hosts_address, trace
        ),
        _read_layers(checker, layers, total),
        total,
        checker.number('--step-ms', step_ms, 0, MAX_DURATION_MS),
        int(checker.number('--slots', slots, 1, MAX_LAYERS)),
        _read_fencing(checker, fencing),
        checker.address('--weights', weights_address, optional=True),
        int(checker.number('--seed', seed, 0, MAX_NUMBER)),
        int(checker.number('--cache-blocks', cache_blocks, 0, MAX_NUMBER)),
    )
    _run(context, checker, common, Engine, settings)


@app.command()
def service(
    context: Context,
    name: Name = 'service-1',
    listen: Listen = '127.0.0.1:9200',
    availability_zone: AvailabilityZone = 'zone-a',
    serves: Serves = 'stock',
    hosts_address: Hosts = '',
    trace: Trace = '',
    work_ms: Annotated[
        str, _flag('--work-ms', 'Duration of one call in milliseconds.')
    ] = '2',
) -> None:
    """
    Serve a replica of a plain service, such as stock lookups or alerts.
    """
    checker = Checker()
    common = _read_common(checker, name, listen)
    settings = ServiceSettings(
        _read_target(
            checker, common, availability_zone, serves, hosts_address, trace
        ),
        checker.number('--work-ms', work_ms, 0, MAX_DURATION_MS),
    )
    _run(context, checker, common, Service, settings)


def _read_layers(checker: Checker, raw: str, total: int) -> tuple[int, int]:
    first, _, last = raw.partition('-')
    if first.isdigit() and last.isdigit():
        layer_range = int(first), int(last)
        if layer_range[0] <= layer_range[1] < total:
            return layer_range
    checker.report(
        '--layers',
        f'{raw!r} is not a range of layers',
        'give FIRST-LAST, such as 0-3',
    )
    return 0, 0


def _read_fencing(checker: Checker, raw: str) -> Fencing:
    try:
        return Fencing(raw)
    except ValueError:
        checker.report(
            '--fencing',
            f'{raw!r} is not a known mode',
            f'give {", ".join(Fencing)}',
        )
        return Fencing.UNSTATED
