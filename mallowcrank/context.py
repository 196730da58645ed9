"""
The environment in which a program runs.
"""

import os
import sys
from collections.abc import Mapping
from dataclasses import dataclass, field
from random import Random, SystemRandom
from typing import TextIO

from mallowcrank.clock import Clock, SystemClock


@dataclass(frozen=True)
class Environment:
    """
    Standard streams, environment variables, clock and random numbers.

    Tests pass replacements.
    """

    stdin: TextIO = field(default_factory=lambda: sys.stdin)
    stdout: TextIO = field(default_factory=lambda: sys.stdout)
    stderr: TextIO = field(default_factory=lambda: sys.stderr)
    variables: Mapping[str, str] = field(default_factory=lambda: os.environ)
    clock: Clock = field(default_factory=SystemClock)
    random: Random = field(default_factory=SystemRandom)
