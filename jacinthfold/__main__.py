"""Run the program."""

import signal
import sys

from jacinthfold.serve.status import ExitStatus

DAEMON_COMMANDS = frozenset(('gateway', 'serve'))


def main() -> int:
    """Run with the arguments and streams of this process."""
    if DAEMON_COMMANDS.intersection(sys.argv[1:2]):
        _install_startup_handlers()
    # Loading the libraries takes half a second, in which a reload's SIGHUP
    # would end the process without a word: the handlers come first.
    from jacinthfold.serve.context import Environment  # noqa: PLC0415
    from jacinthfold.serve.core import main as run  # noqa: PLC0415

    return run(sys.argv[1:], Environment())


def _install_startup_handlers() -> None:
    """Outlive a reload and end well on a stop until the real handlers stand."""
    # The settings are read later, so a reload has nothing to do yet; nothing
    # listens yet, so a stop cuts nobody off.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, _exit_on_stop)


def _exit_on_stop(_number: int, _frame: object) -> None:
    sys.exit(ExitStatus.SUCCESS)


if __name__ == '__main__':
    sys.exit(main())
