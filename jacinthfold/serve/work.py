"""Hold the requests that this host is serving."""

import math
import threading
import uuid
from collections.abc import Mapping
from http import HTTPStatus
from typing import Any

from jacinthfold.serve.answers import CallerError
from jacinthfold.serve.deployment import Organisation
from jacinthfold.serve.routing import Prompt


class Work:
    """Hold one request while it is served."""

    __slots__ = (
        'admit_by',
        'body',
        'deadline',
        'document',
        'headers',
        'hops',
        'is_repeatable',
        'method',
        'organisation',
        'path',
        'priority',
        'prompt',
        'request_id',
        'service',
        'stage',
        'started_at',
    )

    def __init__(
        self,
        organisation: Organisation,
        service: str,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
    ) -> None:
        """Take what the caller sent and for whom it is."""
        self.request_id = self.new_request_id()
        self.organisation = organisation
        self.service = service
        self.method = method
        self.path = path
        self.headers = dict(headers)
        self.body = body
        self.document: dict[str, Any] | None = None
        self.prompt = Prompt()
        self.priority = organisation.priority
        self.is_repeatable = True
        self.deadline = 0.0
        self.admit_by = math.inf
        self.hops = 0
        self.stage = 'admitted'
        self.started_at = 0.0

    @staticmethod
    def new_request_id() -> str:
        """Return an identifier for a request."""
        return f'req-{uuid.uuid4().hex}'

    @property
    def is_stream(self) -> bool:
        """Tell whether the caller wants a stream."""
        return bool(self.document and self.document.get('stream'))


class InFlight:
    """Know every request that is being served here."""

    def __init__(self, limit: int) -> None:
        """Take the most requests there may be."""
        self._limit = limit
        self._guard = threading.Lock()
        self._works: dict[str, Work] = {}
        self.is_stopping = False

    def __len__(self) -> int:
        """Return the number of requests."""
        return len(self._works)

    def works(self) -> list[Work]:
        """Return the requests."""
        with self._guard:
            return list(self._works.values())

    def enter(self, work: Work) -> None:
        """Count a request; raise CallerError when there are too many."""
        with self._guard:
            if len(self._works) >= self._limit:
                raise CallerError(
                    HTTPStatus.SERVICE_UNAVAILABLE,
                    'This entry host serves as many requests as it can.',
                    'overloaded',
                    retry_after_seconds=1,
                )
            self._works[work.request_id] = work

    def leave(self, work: Work) -> None:
        """Count a request off."""
        with self._guard:
            self._works.pop(work.request_id, None)
