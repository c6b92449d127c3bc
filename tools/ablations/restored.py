"""Safeguards of hosts whose store comes back from a copy."""

from tools.ablations.model import Ablation

STORE = 'tests/gateway/test_store_restored.py'
RECORDS = 'tests/gateway/test_restored_records.py'
LEASES = 'tests/gateway/test_restored_leases.py'

RESTORED = [
    Ablation(
        'restored: the era orders changes before the counter',
        [
            (
                'catalogue/revision.py',
                '    return era << COUNTER_BITS | counter',
                '    return counter',
            ),
        ],
        f'{STORE}::test_changes_take_effect_after_the_store_returned',
    ),
    Ablation(
        'restored: a watch that the store has overtaken is refused',
        [
            (
                'platform/store.py',
                '        if answer.era != era_of(revision):',
                '        if False:',
            ),
            (
                'catalogue/follower.py',
                '            raise MetadataHistoryLostError(',
                '            return await watch\n            raise MetadataHistoryLostError(',
            ),
        ],
        f'{RECORDS}::test_watch_that_the_store_overtook_is_refused',
    ),
    Ablation(
        'restored: a list of two eras is refused',
        [
            (
                'platform/store.py',
                '            if answer.era != era_of(first_revision):',
                '            if False:',
            ),
        ],
        f'{RECORDS}::test_list_that_spans_the_return_is_refused',
    ),
    Ablation(
        'restored: late answers of an earlier era do not count',
        [
            (
                'catalogue/eras.py',
                '        if era < self.era:',
                '        if False:',
            )
        ],
        f'{RECORDS}::test_refused_calls_tell_the_era_and_late_answers_do_not_count',
    ),
    Ablation(
        'restored: late changes of an earlier era are not applied',
        [
            (
                'catalogue/records.py',
                '        if self.revision and era_of(revision) != self.era:',
                '        if False:',
            ),
            (
                'catalogue/records.py',
                '        if revision < self.revision:\n            self._log',
                '        if False:\n            self._log',
            ),
        ],
        f'{RECORDS}::test_late_changes_of_an_earlier_era_are_not_applied',
    ),
    Ablation(
        'restored: an older configuration of the copy is not kept',
        [
            (
                'catalogue/records.py',
                '        return is_other_era and is_older_configuration(',
                '        return False and is_older_configuration(',
            ),
        ],
        f'{RECORDS}::test_configuration_in_force_does_not_go_back_with_the_copy',
    ),
    Ablation(
        'restored: a leaving target does not serve again with the copy',
        [
            (
                'catalogue/restoration.py',
                '            is_overruled = self._is_ahead(known, record)',
                '            is_overruled = False',
            ),
        ],
        f'{RECORDS}::test_leaving_target_does_not_serve_again_with_the_copy',
    ),
    Ablation(
        'restored: a target that is gone does not return with the copy',
        [
            (
                'catalogue/restoration.py',
                '            is_overruled = self._has_ended(record)',
                '            is_overruled = False',
            ),
        ],
        f'{RECORDS}::test_target_that_is_gone_does_not_return_with_the_copy',
    ),
    Ablation(
        'restored: what is missing in the copy is no removal',
        [
            (
                'catalogue/records.py',
                '            if era_of(known.revision) == era_of(revision)',
                '            if True',
            ),
        ],
        f'{RECORDS}::test_record_missing_in_the_copy_is_no_removal',
    ),
    Ablation(
        'restored: what nobody repeats is dropped',
        [
            (
                'catalogue/restoration.py',
                '        return is_due and not self.has_dropped_missing',
                '        return False',
            ),
        ],
        f'{RECORDS}::test_record_missing_in_the_copy_is_no_removal',
    ),
    Ablation(
        'restored: an evacuation outlasts other missing records',
        [
            (
                'catalogue/records.py',
                '            kinds.add(RecordKind.EVACUATION)',
                '            pass',
            ),
        ],
        f'{RECORDS}::test_evacuation_missing_in_the_copy_holds_until_the_restoration_is_over',
    ),
    Ablation(
        'restored: a partial snapshot does not span the return',
        [
            (
                'fleet/snapshots.py',
                '        if not self.since or self._era not in {None, era}:',
                '        if not self.since:',
            ),
        ],
        f'{RECORDS}::test_host_that_does_not_watch_learns_of_the_return_from_another',
    ),
    Ablation(
        'restored: a removal known here wins over what others keep',
        [
            (
                'catalogue/restoration.py',
                '            return record.revision <= self._removed.get(record.key, 0)',
                '            return False',
            ),
        ],
        f'{RECORDS}::test_removal_known_here_wins_over_a_record_that_another_host_keeps',
    ),
    Ablation(
        'restored: dropped records leave the cached snapshot',
        [
            (
                'fleet/snapshots.py',
                'self._catalogue.revision, self._catalogue.dropped_count)',
                'self._catalogue.revision, 0)',
            ),
        ],
        f'{RECORDS}::test_dropped_records_leave_the_cached_snapshot',
    ),
    Ablation(
        'restored: a copy proves nothing before changes are repeated',
        [
            (
                'catalogue/freshness.py',
                '            self._unproven_until = self._clock.boottime() + REPEAT_SECONDS',
                '            pass',
            ),
        ],
        f'{RECORDS}::test_revision_proves_nothing_until_changes_are_repeated',
    ),
    Ablation(
        'restored: counters of an earlier era prove nothing',
        [
            (
                'catalogue/freshness.py',
                '        if era_of(revision) < era_of(self._known_revision):',
                '        if False:',
            ),
        ],
        f'{RECORDS}::test_revision_proves_nothing_until_changes_are_repeated',
    ),
    Ablation(
        'restored: hosts of an earlier era are no watchers',
        [
            (
                'fleet/table.py',
                '            and era_of(entry.status.revision) >= era\n',
                '',
            ),
        ],
        f'{RECORDS}::test_watchers_are_hosts_that_know_the_era',
    ),
    Ablation(
        'restored: a lease of an earlier era is not used',
        [
            (
                'platform/store.py',
                '        if lease.era != self._eras.era:',
                '        if False:',
            ),
            (
                'platform/store.py',
                '        if lease.era != answer.era:',
                '        if False:',
            ),
        ],
        f'{LEASES}::test_hosts_are_listed_again_under_leases_of_their_own',
    ),
    Ablation(
        'restored: issuers stop at the return',
        [
            (
                'quota/issuers.py',
                '        return lease.era == self._store.era',
                '        return True',
            ),
            (
                'quota/issuers.py',
                '        if self._era is not None and era > self._era:',
                '        if False:',
            ),
        ],
        f'{LEASES}::test_issuers_stop_and_no_shard_has_two_after_the_return',
    ),
    Ablation(
        'restored: nobody claims before all leases have ended',
        [
            (
                'quota/issuers.py',
                '            self._claims_from = now + LEASE_SECONDS',
                '            pass',
            ),
        ],
        f'{LEASES}::test_issuers_stop_and_no_shard_has_two_after_the_return',
    ),
    Ablation(
        'restored: no claim on a revision of an earlier era',
        [
            (
                'quota/issuers.py',
                '        if shard.issuer and era_of(shard.revision) != self._store.era:',
                '        if False:',
            ),
        ],
        f'{LEASES}::test_condition_on_a_revision_of_an_earlier_era_is_not_used',
    ),
    Ablation(
        'restored: crashes observed here are written again',
        [
            (
                'quarantine/quarantine.py',
                '            self._store_observed(fingerprint, suspect)',
                '            pass',
            ),
        ],
        f'{LEASES}::test_crashes_that_the_store_lost_are_written_again',
    ),
    Ablation(
        'restored: the key of fingerprints is written again',
        [
            (
                'quarantine/fingerprint_key.py',
                '                await self._create(self._fingerprints.key)',
                '                pass',
            ),
        ],
        f'{LEASES}::test_fingerprint_key_that_the_store_lost_is_written_again',
    ),
]
