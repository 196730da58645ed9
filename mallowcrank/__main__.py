"""
Run a program by name: `python -m mallowcrank router --help`.
"""

import sys
from types import MappingProxyType

from mallowcrank import core

PROGRAMS = MappingProxyType(
    {
        'agent': core.agent,
        'load': core.load,
        'operator': core.operator,
        'router': core.router,
        'standin': core.standin,
    }
)


def main() -> int:
    """
    Run the program that the first argument names.

    :returns: the exit status; 2 for a missing or unknown name.
    """
    name = sys.argv.pop(1) if len(sys.argv) > 1 else ''
    program = PROGRAMS.get(name)
    if program is None:
        print(f'name a program: {", ".join(PROGRAMS)}', file=sys.stderr)
        return 2
    return program()


if __name__ == '__main__':
    sys.exit(main())
