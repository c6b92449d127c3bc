"""Safeguards of entry hosts that follow a metadata store."""

from tools.ablations.model import Ablation

GATEWAY = 'tests/gateway/'

GATEWAY_HOSTS = [
    Ablation(
        'gateway: a request in flight is not reported as not run',
        [
            (
                'proxy/delivery.py',
                '        self._progress.is_in_flight = True',
                '        self._progress.is_in_flight = False',
            ),
        ],
        GATEWAY
        + 'test_requests.py::test_deadline_of_a_request_in_flight_is_no_rejection',
    ),
    Ablation(
        'gateway: a late response to another request is skipped',
        [
            (
                'transport/exchange.py',
                "while response.facts.request_id not in {'', self._request_id}:",
                'while False:',
            ),
        ],
        GATEWAY
        + 'test_requests.py::test_late_response_to_another_request_is_skipped',
    ),
    Ablation(
        'gateway: a stream resumes after the last complete event',
        [
            (
                'proxy/delivery.py',
                '            self._progress.last_event_id = splitter.last_event_id',
                "            self._progress.last_event_id = ''",
            ),
        ],
        GATEWAY + 'test_streams.py::test_cut_stream_goes_on_at_another_engine',
    ),
    Ablation(
        'gateway: an older configuration version is ignored',
        [
            (
                'catalogue/listeners.py',
                '        if self.routes is not None and table.version <= self.routes.version:',
                '        if False:',
            ),
        ],
        GATEWAY
        + 'test_translation.py::test_older_version_at_a_later_revision_is_ignored',
    ),
    Ablation(
        'gateway: attempts in other regions count like local ones',
        [
            (
                'proxy/relay_header.py',
                "        'max_attempts': 1,",
                "        'max_attempts': route.max_attempts,",
            ),
        ],
        GATEWAY
        + 'test_knowledge.py::test_attempts_in_other_regions_count_like_those_at_home',
    ),
    Ablation(
        'gateway: a leaving host rejects what it could not finish',
        [
            (
                'gateway/drain.py',
                '        return now + longest_seconds < self.ends_at',
                '        return True',
            ),
        ],
        GATEWAY
        + 'test_life.py::test_draining_host_rejects_what_it_cannot_complete',
    ),
    Ablation(
        'gateway: hosts replace watchers that lose the store',
        [
            (
                'fleet/table.py',
                '            and entry.status.reaches_store\n',
                '',
            ),
        ],
        GATEWAY
        + 'test_watchers.py::test_others_take_over_from_watchers_that_fail',
    ),
    Ablation(
        'gateway: a host that reloaded its records sends all, not only changes',
        [
            (
                'catalogue/records.py',
                'self._removals_since = max(self._removals_since, revision)',
                'self._removals_since = self._removals_since',
            ),
        ],
        GATEWAY + 'test_watchers.py::test_snapshot_after_a_reload_is_whole',
    ),
    Ablation(
        'gateway: hosts that do not watch fetch from hosts ahead at once',
        [
            (
                'fleet/snapshots.py',
                'if is_due or self._catalogue.routes is None or not self.watches():',
                'if False:',
            ),
        ],
        GATEWAY
        + 'test_watchers.py::test_change_reaches_hosts_that_don_t_watch',
    ),
    Ablation(
        'gateway: signals are deferred while libraries load',
        [
            (
                '__main__.py',
                '        _install_startup_handlers()',
                '        pass',
            ),
        ],
        GATEWAY + 'test_life.py::test_signal_during_start',
    ),
    Ablation(
        'gateway: the soak finds an unrepeatable request that runs twice',
        [
            (
                'proxy/retry_rules.py',
                'return request.route.retry_policy is not RetryPolicy.NEVER',
                'return True',
            ),
        ],
        GATEWAY + 'test_soak.py::test_promises_hold_under_random_faults',
    ),
    Ablation(
        'gateway: the soak finds a request that ran but is reported as not run',
        [
            (
                'proxy/progress.py',
                'return self.is_in_flight or self.runs > 0',
                'return False',
            ),
        ],
        GATEWAY + 'test_soak.py::test_promises_hold_under_random_faults',
    ),
    Ablation(
        'gateway: few hosts of another region receive a heartbeat',
        [
            (
                'fleet/heartbeats.py',
                'count = min(REMOTE_FANOUT, len(entries))',
                'count = len(entries)',
            ),
        ],
        GATEWAY
        + 'test_watchers.py::test_few_hosts_of_another_region_receive_each_heartbeat',
    ),
    Ablation(
        'gateway: a leaving host does not register again',
        [
            (
                'catalogue/follower.py',
                '        self._has_left = True',
                '        self._has_left = False',
            ),
        ],
        GATEWAY + 'test_life.py::test_leaving_host_does_not_register_again',
    ),
    Ablation(
        'gateway: records that another writer corrupted are withdrawn',
        [
            (
                'catalogue/records.py',
                '                self._notifier.withdraw(record)\n',
                '                logs.event(record.key)\n',
            ),
        ],
        GATEWAY + 'test_other_writers.py',
    ),
    Ablation(
        'gateway: all fields of entries are validated',
        [
            (
                'platform/target_records.py',
                'if not minimum <= value <= maximum:',
                'if False:',
            ),
        ],
        GATEWAY + 'test_other_writers.py',
    ),
    Ablation(
        'gateway: a background task that fails is restarted',
        [
            (
                'gateway/node.py',
                '            await asyncio.sleep(TASK_RESTART_SECONDS)\n',
                '            return\n',
            ),
        ],
        GATEWAY + 'test_other_writers.py',
    ),
    Ablation(
        'gateway: snapshots are compressed',
        [
            (
                'fleet/snapshots.py',
                'zlib.compress(content, COMPRESSION_LEVEL)',
                'content',
            ),
        ],
        GATEWAY + 'test_watchers.py',
    ),
    Ablation(
        'gateway: a busy engine keeps its request past the soft timeout',
        [
            (
                'proxy/response_timeout.py',
                'is_active = now - self._last_activity_at() < limit_seconds',
                'is_active = False',
            ),
        ],
        GATEWAY + 'test_streams.py',
    ),
    Ablation(
        'gateway: the soft timeout does not end the last attempt',
        [
            (
                'proxy/response_timeout.py',
                '        if is_prepared:\n            self.is_expired',
                '        if True:\n            self.is_expired',
            ),
        ],
        GATEWAY + 'test_streams.py',
    ),
    Ablation(
        'gateway: listeners end before the event loop',
        [
            (
                'proxy/listener.py',
                """        self._has_ended = True
        self.stop_accepting()""",
                '        self._has_ended = False',
            ),
        ],
        GATEWAY + 'test_listener_end.py',
    ),
]
