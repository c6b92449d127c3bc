"""Messages between hosts about caps, and their encoding."""

import msgspec

QUOTA_MARK = b'\x03'


class PermitRequest(msgspec.Struct, array_like=True):
    """Request to a pool for a permit."""

    number: int
    organisation: str
    cost: int


class PermitResponse(msgspec.Struct, array_like=True):
    """Response of a pool: granted if retry_after_ms is None."""

    number: int
    retry_after_ms: int | None
    # True if the cap is used up, false if the pool holds no share.
    is_over_cap: bool = False


class ShareRequest(msgspec.Struct, array_like=True):
    """Request to an issuer for a share, with the share held so far."""

    organisation: str
    half: int
    number: int
    held: float
    wanted: float


class ShareResponse(msgspec.Struct, array_like=True):
    """Response of an issuer with a leased share."""

    organisation: str
    half: int
    number: int
    share: float
    # Duration of the lease, counted from the request.
    seconds: float


class PermitRefund(msgspec.Struct, array_like=True):
    """Return to a pool the cost of a permit that was not used."""

    organisation: str
    cost: int


Message = (
    PermitRequest | PermitResponse | ShareRequest | ShareResponse | PermitRefund
)


class QuotaDatagram(msgspec.Struct):
    """Batch of messages from one host to another."""

    sender: str
    # The sender's incarnation.
    life: int
    permit_asks: list[PermitRequest] = []
    permit_answers: list[PermitResponse] = []
    share_asks: list[ShareRequest] = []
    share_answers: list[ShareResponse] = []
    returned: list[PermitRefund] = []

    def add(self, message: Message) -> None:
        """Add a message to the list of its type."""
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
    """Encode a datagram."""
    return QUOTA_MARK + msgspec.msgpack.encode(datagram)


def decode(content: bytes) -> QuotaDatagram:
    """Decode a datagram; raise ValueError if it is malformed."""
    try:
        return _decoder.decode(content[len(QUOTA_MARK) :])
    except RecursionError as error:
        raise ValueError(str(error)) from error
