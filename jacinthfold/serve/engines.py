"""Speak with targets beside the requests: read their status, order them."""

import json
from collections.abc import Mapping
from typing import Any, Protocol

from jacinthfold.serve.client import ClientError, HttpClient
from jacinthfold.serve.deployment import Target
from jacinthfold.serve.views import ReportState, TargetReport

HTTP_OK = 200
HTTP_CONFLICT = 409
STATES: Mapping[str, ReportState] = {
    'active': ReportState.ACTIVE,
    'leaving': ReportState.LEAVING,
    'stopped': ReportState.STOPPED,
}


class EngineError(Exception):
    """Report a target that gave no usable answer."""


class MisplacedTargetError(EngineError):
    """Report a target that stands elsewhere than configured."""


class OrderRefusedError(EngineError):
    """Report an order that the target surely did not follow."""


class OrderUnknownError(EngineError):
    """Report an order that the target may or may not have followed."""


class Order:
    """Declare what a target is to be; safe to repeat."""

    __slots__ = ('fencing_number', 'models', 'state')

    def __init__(
        self, fencing_number: int, state: str, models: tuple[str, ...]
    ) -> None:
        """Take the lease's number, and the wanted state and models."""
        self.fencing_number = fencing_number
        self.state = state
        self.models = models


class TargetClient(Protocol):
    """Read and order targets."""

    def read(self, target: Target, version: int) -> TargetReport:
        """Return a reading; raise EngineError."""

    def order(self, target: Target, order: Order) -> None:
        """Give an order; raise OrderRefusedError or OrderUnknownError."""


class HttpTargetClient:
    """Speak the targets' HTTP interface."""

    def __init__(
        self, http_client: HttpClient, *, order_key: str, timeout_seconds: float
    ) -> None:
        """Take the key that some targets ask for, and the bound on a call."""
        self._client = http_client
        self._order_key = order_key
        self._timeout_seconds = timeout_seconds

    def read(self, target: Target, version: int) -> TargetReport:
        """Return a reading; raise EngineError."""
        try:
            answer = self._client.call_json(
                'GET',
                f'{target.url}/status',
                timeout_seconds=self._timeout_seconds,
                connect_timeout_seconds=self._timeout_seconds,
            )
            document = answer.json()
        except ClientError as error:
            raise EngineError(str(error)) from error
        _check_place(target, document)
        return _report(target, document, version)

    def order(self, target: Target, order: Order) -> None:
        """Give an order; raise OrderRefusedError or OrderUnknownError."""
        document = {
            'fencing_number': order.fencing_number,
            'state': order.state,
            'models': list(order.models),
        }
        headers = {}
        if self._order_key:
            headers['Authorization'] = f'Bearer {self._order_key}'
        try:
            answer = self._client.call_json(
                'PUT',
                f'{target.url}/orders',
                document,
                headers=headers,
                timeout_seconds=self._timeout_seconds,
            )
        except ClientError as error:
            if error.request_sent:
                raise OrderUnknownError(str(error)) from error
            raise OrderRefusedError(str(error)) from error
        if answer.status != HTTP_OK:
            raise OrderRefusedError(f'The target answered {answer.status}.')


def _check_place(target: Target, document: Any) -> None:
    place = document.get('region'), document.get('data_centre')
    if place != (target.region, target.data_centre):
        raise MisplacedTargetError(
            f'{target.name} says it stands in {json.dumps(place)}'
        )


def _report(target: Target, document: Any, version: int) -> TargetReport:
    try:
        return TargetReport(
            target.name,
            version,
            STATES.get(document['state'], ReportState.UNKNOWN),
            running=max(0, int(document['running'])),
            waiting=max(0, int(document['waiting'])),
            slots=max(1, int(document['slots'])),
            models=tuple(map(str, document.get('models', ()))),
            resumes=bool(document.get('resumes')),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise EngineError(f'unreadable status: {error!r}') from error
