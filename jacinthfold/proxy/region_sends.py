"""Build the sends of requests to hosts of other regions."""

import random
from functools import partial
from typing import Protocol

from jacinthfold.catalogue.model import HostRecord
from jacinthfold.clock import Clock
from jacinthfold.placement.regions import RegionView, RemoteRegion
from jacinthfold.proxy import relay_header
from jacinthfold.proxy.attempt_hooks import AttemptHooks
from jacinthfold.proxy.caller_response import CallerResponse
from jacinthfold.proxy.delivery import Delivery
from jacinthfold.proxy.outcome import Outcome
from jacinthfold.proxy.progress import Progress
from jacinthfold.proxy.response_timeout import ResponseTimeout
from jacinthfold.proxy.sending import Sending
from jacinthfold.proxy.target_outcomes import TargetOutcomes
from jacinthfold.request.messages import Headers, Request
from jacinthfold.request.silence_limits import (
    RELAY_MARGIN_SECONDS,
    SilenceLimits,
)
from jacinthfold.transport.dialect import Dialect

# The round trip to other regions takes 110 ms.
REGION_CONNECT_TIMEOUT_SECONDS = 0.7


class RegionHosts(Protocol):
    """Look up the entry hosts of other regions."""

    def serving(self, region: str) -> list[HostRecord]:
        """Return the hosts of a region that accept requests."""

    def heard_at(self, name: str) -> float:
        """Return when the last message from a host arrived."""


class RegionSends:
    """Build sends that a host of another region relays to its targets."""

    def __init__(
        self,
        hosts: RegionHosts,
        regions: RegionView,
        dialect: Dialect,
        outcomes: TargetOutcomes,
        hooks: AttemptHooks,
        clock: Clock,
    ) -> None:
        """Store the hosts, and what writes and counts requests."""
        self._hosts = hosts
        self._regions = regions
        self._dialect = dialect
        self._outcomes = outcomes
        self._hooks = hooks
        self._clock = clock
        self._random = random.Random()
        # When a connection to a host has failed, by its name.
        self._unreachable_at: dict[str, float] = {}

    def build(
        self,
        request: Request,
        response: CallerResponse,
        progress: Progress,
        region: RemoteRegion,
        *,
        has_permit: bool,
    ) -> Sending | None:
        """Return the send of a request, None if the region has no host."""
        host = self.choose_host(request, region)
        if host is None:
            return None
        self._regions.record_relayed(request, region)
        delivery = self._delivery(request, response, progress, region, host)
        delivery.on_begin = lambda: self._hooks.on_begin(
            request, delivery.peer_version
        )
        sending = Sending(
            request,
            (host.address, host.relay_port, host.name),
            REGION_CONNECT_TIMEOUT_SECONDS,
            self._headers(request, progress, has_permit=has_permit),
            delivery,
        )
        sending.on_outcome = partial(
            self._record_outcome, request, delivery, host.name
        )
        return sending

    def choose_host(
        self, request: Request, region: RemoteRegion
    ) -> HostRecord | None:
        """Return a host of a region that may serve a request."""
        names = set(region.hosts)
        found = [
            host
            for host in self._hosts.serving(region.name)
            if host.name in names
            and self._is_reachable(host.name)
            # Others would let the stream go on at any version.
            and (request.origin is None or host.keeps_origins)
        ]
        return self._random.choice(found) if found else None

    def _record_outcome(
        self,
        request: Request,
        delivery: Delivery,
        host_name: str,
        outcome: Outcome,
    ) -> None:
        self._outcomes.count(request, delivery, outcome)
        if outcome.is_unreachable:
            self._unreachable_at[host_name] = self._clock.monotonic()

    def _is_reachable(self, host_name: str) -> bool:
        """Tell whether a host was heard after no connection could be made."""
        failed_at = self._unreachable_at.get(host_name)
        if failed_at is None:
            return True
        if self._hosts.heard_at(host_name) <= failed_at:
            return False
        self._unreachable_at.pop(host_name)
        return True

    def _delivery(
        self,
        request: Request,
        response: CallerResponse,
        progress: Progress,
        region: RemoteRegion,
        host: HostRecord,
    ) -> Delivery:
        timeout = ResponseTimeout(
            SilenceLimits(request.route, RELAY_MARGIN_SECONDS),
            lambda: self._hosts.heard_at(host.name),
            self._clock,
        )
        timeout.discard_next = lambda: self._hooks.discard_next(
            request, progress
        )
        timeout.prepare_next = lambda: self._hooks.prepare_next(
            request,
            response,
            progress,
            progress.tried,
            {*progress.tried_regions, region.name},
        )
        delivery = Delivery(request, response, progress, timeout, self._clock)
        delivery.is_peer = True
        return delivery

    def _headers(
        self, request: Request, progress: Progress, *, has_permit: bool
    ) -> Headers:
        now = self._clock.monotonic()
        headers = self._dialect.target_headers(
            request,
            instance='',
            remaining_seconds=request.deadline - now,
            last_event_id=progress.last_event_id,
        )
        headers = relay_header.without_internal(headers)
        if request.organisation is not None:
            # Its name is in the relay header. The other host sets this one for
            # its target; hosts of the previous version would add it again.
            headers = self._dialect.without_credentials(headers)
        headers.extend(
            relay_header.route_header(
                request,
                request.deadline - now,
                now - request.received_at,
                has_permit=has_permit,
            )
        )
        return headers
