"""Order targets to be what the configuration says, under a lease."""

import threading

from jacinthfold import logs
from jacinthfold.clock import Clock
from jacinthfold.config import Settings
from jacinthfold.hashing import rank
from jacinthfold.serve.configuration import Configuration
from jacinthfold.serve.deployment import Target, TargetInterface, TargetState
from jacinthfold.serve.engines import (
    EngineError,
    Order,
    OrderRefusedError,
    OrderUnknownError,
    TargetClient,
)
from jacinthfold.serve.members import MemberTable
from jacinthfold.serve.store import Store, StoreError
from jacinthfold.serve.targets import TargetTable
from jacinthfold.serve.views import ReportState, TargetReport

LEASE_PREFIX = 'jacinthfold/orders'
CANDIDATE_COUNT = 2
RENEWALS_PER_LEASE = 3
SAFETY_SHARE = 0.25
QUIET_READINGS_TO_STOP = 3


class OrderLease:
    """Hold the right to give orders in one data centre."""

    def __init__(
        self,
        store: Store,
        name: str,
        data_centre: str,
        settings: Settings,
        clock: Clock,
    ) -> None:
        """Take the store, the holder's name and the place."""
        self._store = store
        self._name = name
        self._key = f'{LEASE_PREFIX}/{data_centre}'
        self._lease_seconds = settings.targets.lease_seconds
        self._clock = clock
        self._lease_id = ''
        self._valid_until = 0.0
        self.fencing_number = 0

    @property
    def is_held(self) -> bool:
        """Tell whether the lease surely stands."""
        return self._clock.monotonic() < self._valid_until

    def keep(self) -> bool:
        """Take or extend the lease; tell whether it is held."""
        asked_at = self._clock.monotonic()
        try:
            held = self._renew() or self._acquire()
        except StoreError:
            return self.is_held
        if not held:
            self._valid_until = 0
            return False
        # Counted from before the call: the store's count began later, so
        # ours ends first. A pause after this shows at the next look.
        self._valid_until = asked_at + self._lease_seconds * (1 - SAFETY_SHARE)
        return True

    def _renew(self) -> bool:
        if not self._lease_id or not self._store.renew_lease(self._lease_id):
            self._lease_id = ''
            return False
        return self.fencing_number > 0

    def _acquire(self) -> bool:
        if not self._lease_id:
            self._lease_id = self._store.grant_lease(self._lease_seconds)
        value = self._name.encode()
        if not self._store.acquire(self._key, value, self._lease_id):
            return False
        entry = self._store.get(self._key)
        if entry is None or entry.lease_id != self._lease_id:
            return False
        # The index grows with each holder, so a target that remembers the
        # highest refuses a former holder that was paused and acts on.
        self.fencing_number = entry.index
        logs.event('order_lease_taken', fencing_number=entry.index)
        return True


class OrderKeeper:
    """Compare targets with the configuration and order what differs."""

    def __init__(
        self,
        lease: OrderLease,
        configuration: Configuration,
        targets: TargetTable,
        members: MemberTable,
        client: TargetClient,
        settings: Settings,
    ) -> None:
        """Take the lease and what is compared."""
        self._lease = lease
        self._configuration = configuration
        self._targets = targets
        self._members = members
        self._client = client
        self._settings = settings
        self._quiet: dict[str, int] = {}
        self.order_count = 0

    def run(self, stopped: threading.Event) -> None:
        """Keep the lease and the targets in order until stopped."""
        pause = self._settings.targets.lease_seconds / RENEWALS_PER_LEASE
        while not stopped.wait(min(1, pause)):
            if self._is_candidate() and self._lease.keep():
                self.reconcile()

    def reconcile(self) -> None:
        """Look at each target of the data centre once."""
        place = self._members.own.data_centre
        for target in self._configuration.deployment.targets.values():
            if (
                target.data_centre == place
                and target.interface == TargetInterface.ENGINE
            ):
                self._reconcile_one(target)

    def _is_candidate(self) -> bool:
        own = self._members.own
        names = [own.name, *(one.name for one in self._members.neighbours())]
        return own.name in rank('orders', names)[:CANDIDATE_COUNT]

    def _is_as_wanted(self, target: Target) -> bool:
        # The pollers read every target already. Only one that seems to need
        # an order is read again, or a holder would read its whole data centre
        # each second.
        view = self._targets.find(target.name)
        if view is None or not view.report.version:
            return False
        if target.state == TargetState.STOPPED:
            return view.report.state == ReportState.STOPPED
        return self._wanted(target, view.report) is None

    def _reconcile_one(self, target: Target) -> None:
        if self._is_as_wanted(target):
            return
        try:
            # Read first: an order whose answer was lost may stand already.
            report = self._client.read(target, self._targets.version())
        except EngineError:
            return
        self._targets.merge([report])
        order = self._wanted(target, report)
        if order is None:
            return
        if not self._lease.is_held:
            return
        # The lease may still lapse here, in a pause. Targets that check the
        # number refuse us then; for the others the order only declares the
        # configured state, and the next holder reads it back and corrects it.
        self._give(target, order)

    def _wanted(self, target: Target, report: TargetReport) -> Order | None:
        number = self._lease.fencing_number
        if target.state == TargetState.STOPPED:
            if report.state == ReportState.STOPPED:
                return None
            if not self._is_quiet(target, report):
                return None
            return Order(number, 'stopped', target.serves)
        self._quiet.pop(target.name, None)
        if target.state != TargetState.ACTIVE:
            return None
        has_models = set(target.serves) <= set(report.models)
        if report.state == ReportState.STOPPED:
            return Order(number, 'active', target.serves)
        if has_models or report.state != ReportState.ACTIVE:
            return None
        return Order(number, 'active', target.serves)

    def _is_quiet(self, target: Target, report: TargetReport) -> bool:
        # Load reports lag. A single empty one may be from before the last
        # request began, and an order then would cut that request off.
        view = self._targets.find(target.name)
        own = view.in_flight if view else 0
        count = self._quiet.get(target.name, 0) + 1
        if report.running + report.waiting + own:
            count = 0
        self._quiet[target.name] = count
        return count >= QUIET_READINGS_TO_STOP

    def _give(self, target: Target, order: Order) -> None:
        outcome = 'followed'
        try:
            self._client.order(target, order)
        except OrderRefusedError as error:
            outcome = f'refused: {error}'
        except OrderUnknownError as error:
            outcome = f'unknown: {error}'
        self.order_count += 1
        logs.event(
            'order_given',
            target=target.name,
            state=order.state,
            models=','.join(order.models),
            fencing_number=order.fencing_number,
            outcome=outcome,
        )
