"""Targets that left, at hosts whose view of the store is old or disordered."""

from jacinthfold.catalogue.records import Record
from jacinthfold.fleet.snapshots import decode_snapshot, encode_snapshot
from tests.gateway.test_translation import catalogue, target


def pull(behind, ahead):
    """Apply a snapshot of one catalogue to another."""
    snapshot = decode_snapshot(encode_snapshot(ahead, behind.revision))
    if snapshot.is_whole:
        behind.replace(snapshot.records, snapshot.revision)
    else:
        behind.apply(snapshot.records, snapshot.revision)


def removal(instance, revision):
    return Record(f'servers/{instance}', revision, None)


def keys(records):
    return {one.key for one in records.records()}


def test_late_watch_does_not_restore_a_removed_record():
    """Guards against a watch that returns after a newer snapshot was applied.

    The watch hangs with an older state in which the target is ready. The
    removal is not sent again, so the target would get requests for good.
    """
    records, notifications = catalogue()
    records.apply([target('k', 1)], 1)
    # The watch from revision 1 returned these, but its answer is late.
    late = [target('i', 2)]
    ahead, _ = catalogue()
    ahead.apply([target('k', 1)], 1)
    ahead.apply([target('i', 2)], 2)
    ahead.apply([removal('i', 3)], 3)
    pull(records, ahead)
    assert records.revision == 3
    records.apply(late, 2)
    assert keys(records) == {'servers/k'}
    assert ('target', 'i') not in notifications


def test_removal_of_an_unknown_record_is_passed_on():
    """Guards against a snapshot without a removal that its sender received.

    The sender fetched the removal together with everything since its last
    revision and never knew the record. A host that knows the record and fetches
    from it would keep the target at a revision that is past the removal.
    """
    first, second, third = (catalogue()[0] for _ in range(3))
    for one in (first, second, third):
        one.apply([target('k', 1)], 1)
    for one in (first, third):
        one.apply([target('i', 2)], 2)
    first.apply([removal('i', 3)], 3)
    pull(second, first)
    pull(third, second)
    assert third.revision == 3
    assert keys(third) == {'servers/k'}


def test_record_written_again_after_its_removal_is_applied():
    """Guards against ignoring a record that lapsed and was written anew."""
    records, notifications = catalogue()
    records.apply([target('i', 1)], 1)
    records.apply([removal('i', 2)], 2)
    records.apply([target('i', 3)], 3)
    assert notifications[-1] == ('target', 'i')


def test_list_at_the_known_revision_restores_a_missing_record():
    """Guards against a full list that is taken for an old change.

    A list was read at its revision or later, so no record in it was removed
    before that revision.
    """
    records, notifications = catalogue()
    records.apply([target('k', 3)], 3)
    records.replace([target('k', 3), target('i', 2)], 3)
    assert notifications[-1] == ('target', 'i')
