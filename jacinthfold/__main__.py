"""Run the program."""

import sys

from jacinthfold.context import Environment
from jacinthfold.core import main as run


def main() -> int:
    """Run with the arguments and streams of this process."""
    return run(sys.argv[1:], Environment())


if __name__ == '__main__':
    sys.exit(main())
