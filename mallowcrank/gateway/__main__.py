"""
Entry point of `mallowcrank-gateway`: `python -m mallowcrank.gateway`.
"""

import os
import sys

from mallowcrank.gateway.launch import run_gateway
from mallowcrank.platform.vocabulary import SETTINGS_VARIABLE


def main() -> int:
    """
    Run a gateway with the settings file that the environment names.

    The command-line parser is imported only if there are arguments, since its
    library is slow to import.
    """
    if len(sys.argv) > 1:
        from mallowcrank.core import gateway

        return gateway()
    return run_gateway(os.environ.get(SETTINGS_VARIABLE, ''))


if __name__ == '__main__':
    sys.exit(main())
