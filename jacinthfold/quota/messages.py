"""Write and read what hosts tell each other about caps."""

import msgspec

QUOTA_MARK = b'\x03'


class PermitRequest(msgspec.Struct, array_like=True):
    """Ask a pool to let a request through."""

    number: int
    organisation: str
    cost: int


class PermitResponse(msgspec.Struct, array_like=True):
    """Answer such a question: None to run, else milliseconds to a return."""

    number: int
    retry_after_ms: int | None
    # Whether the cap is spent, or the pool doesn't know what it may spend.
    is_over_cap: bool = False


class ShareRequest(msgspec.Struct, array_like=True):
    """Ask the issuer for a share; say what is held until its answer."""

    organisation: str
    half: int
    number: int
    held: float
    wanted: float


class ShareResponse(msgspec.Struct, array_like=True):
    """Lend a share in answer to a question."""

    organisation: str
    half: int
    number: int
    share: float
    # From the question on.
    seconds: float


class PermitRefund(msgspec.Struct, array_like=True):
    """Give a pool back what a request that did not run was granted."""

    organisation: str
    cost: int


Message = (
    PermitRequest | PermitResponse | ShareRequest | ShareResponse | PermitRefund
)


class QuotaDatagram(msgspec.Struct):
    """Hold what one host tells another one at a time."""

    sender: str
    # The sender's incarnation.
    life: int
    permit_asks: list[PermitRequest] = []
    permit_answers: list[PermitResponse] = []
    share_asks: list[ShareRequest] = []
    share_answers: list[ShareResponse] = []
    returned: list[PermitRefund] = []

    def add(self, message: Message) -> None:
        """Add a message of any kind."""
        if isinstance(message, PermitRequest):
            self.permit_asks.append(message)
        elif isinstance(message, PermitResponse):
            self.permit_answers.append(message)
        elif isinstance(message, ShareRequest):
            self.share_asks.append(message)
        elif isinstance(message, ShareResponse):
            self.share_answers.append(message)
        else:
            self.returned.append(message)


_decoder = msgspec.msgpack.Decoder(QuotaDatagram)


def encode(datagram: QuotaDatagram) -> bytes:
    """Return a datagram's bytes."""
    return QUOTA_MARK + msgspec.msgpack.encode(datagram)


def decode(content: bytes) -> QuotaDatagram:
    """Return a datagram; raise ValueError."""
    try:
        return _decoder.decode(content[len(QUOTA_MARK) :])
    except RecursionError as error:
        raise ValueError(str(error)) from error
