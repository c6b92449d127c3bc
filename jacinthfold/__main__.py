"""Entry point of the program."""

import signal
import sys

from jacinthfold.serve.status import ExitStatus

DAEMON_COMMANDS = frozenset(('gateway', 'serve'))


def main() -> int:
    """Run the command given by the arguments of this process."""
    if DAEMON_COMMANDS.intersection(sys.argv[1:2]):
        _install_startup_handlers()
    # Importing the libraries takes half a second. The handlers are installed
    # first, as a SIGHUP to reload would otherwise kill the process silently.
    from jacinthfold.serve.context import Environment  # noqa: PLC0415
    from jacinthfold.serve.core import main as run  # noqa: PLC0415

    return run(sys.argv[1:], Environment())


def _install_startup_handlers() -> None:
    """Ignore SIGHUP and exit on SIGTERM until real handlers are set."""
    # The settings are read later, so a reload has nothing to do yet. No
    # listener is open yet, so a stop cuts off no request.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, _exit_on_stop)


def _exit_on_stop(_number: int, _frame: object) -> None:
    sys.exit(ExitStatus.SUCCESS)


if __name__ == '__main__':
    sys.exit(main())
