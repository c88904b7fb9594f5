package org.ragworttide.coordination.feed;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that changes are applied once, in order and without gaps, whatever source they have. */
public class ChangeLogTest {
  private static final byte[] VALUE = {1};

  private ChangeLog log;

  /** Creates a log that has read a store with two items. */
  @BeforeMethod
  public void createLog() {
    log = new ChangeLog(new NumberedItems());
    log.apply(
        ChangeBatch.listing(
            at(10), List.of(Change.put("a", 3, VALUE), Change.put("b", 7, VALUE)), 0),
        0);
  }

  private static StorePosition at(long revision) {
    return new StorePosition(1, revision);
  }

  private static List<String> keys(List<Change> changes) {
    return changes.stream().map(Change::key).toList();
  }

  @Test
  public void olderChangeOfKeyIsIgnored() {
    assertEquals(keys(apply(10, 12, Change.put("a", 12, VALUE))), List.of("a"));
    assertEquals(keys(apply(10, 11, Change.put("a", 11, VALUE))), List.of());
    assertEquals(log.position(), at(12));
  }

  @Test
  public void sameChangeIsAppliedOnce() {
    assertEquals(keys(apply(10, 12, Change.put("c", 12, VALUE))), List.of("c"));
    assertEquals(keys(apply(10, 12, Change.put("c", 12, VALUE))), List.of());
  }

  @Test
  public void batchThatSkipsChangesIsIgnored() {
    assertEquals(keys(apply(11, 13, Change.put("c", 13, VALUE))), List.of());
    assertEquals(log.position(), at(10));
  }

  @Test
  public void changesBeforeAnyListingAreIgnored() {
    ChangeLog empty = new ChangeLog(new NumberedItems());
    assertTrue(
        empty
            .apply(ChangeBatch.changes(at(0), 5, List.of(Change.put("a", 5, VALUE))), 0)
            .isEmpty());
  }

  @Test
  public void olderListingIsIgnored() {
    assertTrue(log.apply(ChangeBatch.listing(at(9), List.of(), 0), 0).isEmpty());
    assertEquals(log.position(), at(10));
  }

  @Test
  public void itemsThatListingLacksAreDeleted() {
    List<Change> applied =
        log.apply(ChangeBatch.listing(at(20), List.of(Change.put("b", 7, VALUE)), 500), 0);
    assertEquals(keys(applied), List.of("a"));
    assertTrue(applied.getFirst().value().isEmpty());
    assertEquals(applied.getFirst().graceMillis(), 500);
  }

  @Test
  public void graceOfDeletionPassesWhileItWaitsToBeSent() {
    apply(10, 12, Change.deletion("a", 12, 2_000));
    assertEquals(log.changesAfter(at(10), 500).changes().getFirst().graceMillis(), 1_500);
    assertEquals(log.changesAfter(at(10), 2_500).changes().getFirst().graceMillis(), 0);
  }

  @Test
  public void vmThatKnowsTooLittleReceivesListing() {
    assertTrue(log.changesAfter(StorePosition.NONE, 0).listing());
    ChangeLog other = new ChangeLog(new NumberedItems());
    other.apply(log.changesAfter(StorePosition.NONE, 0), 0);
    assertEquals(other.position(), at(10));
    assertFalse(log.changesAfter(at(10), 0).listing());
  }

  @Test
  public void vmThatLacksForgottenDeletionsReceivesListing() {
    List<Change> deletions = new ArrayList<>();
    for (int i = 0; i <= ChangeLog.MAX_DELETIONS; i++) {
      deletions.add(Change.deletion("gone " + i, 11 + i, 0));
    }
    long last = 11 + ChangeLog.MAX_DELETIONS;
    log.apply(ChangeBatch.changes(at(10), last, deletions), 0);
    assertTrue(log.changesAfter(at(10), 0).listing());
    assertFalse(log.changesAfter(at(11), 0).listing());
    assertEquals(log.changesAfter(at(11), 0).changes().size(), ChangeLog.MAX_DELETIONS);
  }

  /** Guards against a deleted item that a VM with older knowledge brings back. */
  @Test
  public void itemWhoseDeletionIsForgottenDoesNotReturn() {
    List<Change> deletions = new ArrayList<>();
    deletions.add(Change.deletion("a", 11, 0));
    for (int i = 0; i < ChangeLog.MAX_DELETIONS; i++) {
      deletions.add(Change.deletion("gone " + i, 12 + i, 0));
    }
    log.apply(ChangeBatch.changes(at(10), 11 + ChangeLog.MAX_DELETIONS, deletions), 0);
    assertEquals(keys(apply(2, 10, Change.put("a", 3, VALUE))), List.of());
  }

  private List<Change> apply(long after, long revision, Change change) {
    return log.apply(ChangeBatch.changes(at(after), revision, List.of(change)), 0);
  }
}
