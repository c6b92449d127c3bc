"""Choose how a connection ends."""

import socket
import struct

# On, for no seconds: a socket that is closed sends a reset, whoever closes it.
_RESET = struct.pack('ii', 1, 0)
_ORDERLY_END = struct.pack('ii', 0, 0)


def set_reset_on_close(opened: socket.socket, *, is_on: bool) -> None:
    """Make each end of a connection a reset, or an orderly end again.

    The kernel ends the connections of a killed process in the same way.
    """
    linger = _RESET if is_on else _ORDERLY_END
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
