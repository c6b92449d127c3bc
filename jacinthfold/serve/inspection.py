"""Show a process's state, in short and as a whole."""

import os
from typing import Any, Protocol

from jacinthfold import config
from jacinthfold.clock import Clock
from jacinthfold.config import Settings
from jacinthfold.serve.admission import Admission
from jacinthfold.serve.configuration import Configuration
from jacinthfold.serve.guard import Guard
from jacinthfold.serve.keys import KeyTable
from jacinthfold.serve.limits import Limiter
from jacinthfold.serve.members import MemberTable
from jacinthfold.serve.orders import OrderKeeper, OrderLease
from jacinthfold.serve.peers import Peers
from jacinthfold.serve.polling import Poller
from jacinthfold.serve.serving import Server
from jacinthfold.serve.spread import StoreWatcher
from jacinthfold.serve.targets import TargetTable
from jacinthfold.serve.views import TargetView
from jacinthfold.serve.work import InFlight
from jacinthfold.version import VERSION


class Inspected(Protocol):
    """Hold the parts of a process whose state is shown."""

    settings: Settings
    clock: Clock
    started_at: float
    members: MemberTable
    configuration: Configuration
    targets: TargetTable
    watcher: StoreWatcher
    poller: Poller
    order_lease: OrderLease
    order_keeper: OrderKeeper
    guard: Guard
    peers: Peers
    in_flight: InFlight
    admission: Admission
    limiter: Limiter
    server: Server
    key_table: KeyTable

    def is_ready(self) -> bool:
        """Tell whether callers may be served."""


def status(node: Inspected) -> dict[str, Any]:
    """Return a short summary."""
    own = node.members.own
    live = [member.name for member, _ in node.members.live()]
    return {
        'name': own.name,
        'version': VERSION,
        'region': own.region,
        'data_centre': own.data_centre,
        'state': node.members.state.name.lower(),
        'ready': node.is_ready(),
        'revision': node.configuration.revision,
        'revision_age_seconds': round(
            node.clock.monotonic() - node.configuration.applied_at, 3
        ),
        'store_reachable': node.watcher.is_store_reachable,
        'requests_in_flight': len(node.in_flight),
        'requests_waiting': node.admission.waiting_count,
        'members': sorted(live),
        'targets': [
            _target_summary(view, node.clock.monotonic())
            for view in node.targets.views()
        ],
    }


def dump(node: Inspected) -> dict[str, Any]:
    """Return the whole state."""
    now = node.clock.monotonic()
    return {
        **status(node),
        'process_id': os.getpid(),
        'uptime_seconds': round(now - node.started_at, 3),
        'settings': config.to_document(node.settings),
        'member_records': [
            {
                'name': member.name,
                'incarnation': f'{member.incarnation:x}',
                'data_centre': member.data_centre,
                'state': beat.state.name.lower(),
                'sequence': beat.sequence,
                'revision': beat.revision,
                'free_slots': beat.free_slots,
            }
            for member, beat in node.members.live()
        ],
        'watches_store': node.members.is_watcher(),
        'polls': [target.name for target in node.poller.assigned()],
        'order_lease': {
            'held': node.order_lease.is_held,
            'fencing_number': node.order_lease.fencing_number,
            'orders_given': node.order_keeper.order_count,
        },
        'limits': {'organisations': len(node.limiter)},
        'keys': {'remembered': len(node.key_table)},
        'retries': {
            'spent': node.server.retries.spent_count,
            'refused': node.server.retries.refused_count,
        },
        'shed': node.admission.shed_counts,
        'quarantined': node.guard.refused(),
        'peer_messages': {
            'sent': node.peers.sent_count,
            'received': node.peers.received_count,
            'failed': node.peers.failed_count,
            'sent_bytes': node.peers.sent_bytes,
            'received_bytes': node.peers.received_bytes,
        },
        'requests': [
            {
                'request_id': work.request_id,
                'organisation': work.organisation.name,
                'service': work.service,
                'stage': work.stage,
                'age_seconds': round(now - work.started_at, 3),
            }
            for work in node.in_flight.works()
        ],
    }


def _target_summary(view: TargetView, now: float) -> dict[str, Any]:
    return {
        'name': view.target.name,
        'serves': list(view.target.serves),
        'configured': view.target.state.value,
        'found': view.report.state.name.lower(),
        'listed_leaving': view.is_listed_leaving,
        'reading_age_seconds': round(now - view.received_at, 3),
        'load': view.load,
        'slots': view.slots,
        'own_in_flight': view.in_flight,
        'first_token_seconds': round(view.first_token_seconds, 4),
        'failures_in_a_row': view.failure_count,
        'taken_out': view.broken_until > now,
    }
