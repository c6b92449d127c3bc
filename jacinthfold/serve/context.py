"""Carry what the program takes from its surroundings."""

import os
import sys
from collections.abc import Mapping
from typing import TextIO

from jacinthfold.clock import Clock, SystemClock


class Environment:
    """Hold streams, variables and the clock, so tests can replace them."""

    __slots__ = ('clock', 'stderr', 'stdin', 'stdout', 'variables')

    def __init__(
        self,
        *,
        stdin: TextIO | None = None,
        stdout: TextIO | None = None,
        stderr: TextIO | None = None,
        variables: Mapping[str, str] | None = None,
        clock: Clock | None = None,
    ) -> None:
        """Take the given parts; the process's own stand for the others."""
        self.stdin = stdin or sys.stdin
        self.stdout = stdout or sys.stdout
        self.stderr = stderr or sys.stderr
        self.variables = os.environ if variables is None else variables
        self.clock = clock or SystemClock()
