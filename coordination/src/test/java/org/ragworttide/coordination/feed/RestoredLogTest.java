package org.ragworttide.coordination.feed;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests what a VM takes from a store that has returned from an older copy of itself. */
public class RestoredLogTest {
  private static final String CONFIGURATION = NumberedItems.CONFIGURATION;
  private static final String UPSTREAM = "numbered upstream";
  private static final String ZONE = "zone";
  private static final byte[] VALUE = {1};

  private ChangeLog log;

  /** Creates a log at revision 20 of the first era; the copies of the tests are older. */
  @BeforeMethod
  public void createLog() {
    log = new ChangeLog(new NumberedItems());
    list(1, 10, numbered(CONFIGURATION, 4, 3), numbered(UPSTREAM, 5, 7));
    change(1, 10, 20, numbered(CONFIGURATION, 20, 8));
  }

  private static Change numbered(String key, long revision, long version) {
    return Change.put(key, revision, NumberedItems.value(version));
  }

  private List<String> list(long era, long revision, Change... items) {
    return texts(
        log.apply(ChangeBatch.listing(new StorePosition(era, revision), List.of(items), 0), 0));
  }

  private List<String> change(long era, long after, long revision, Change change) {
    return texts(
        log.apply(
            ChangeBatch.changes(new StorePosition(era, after), revision, List.of(change)), 0));
  }

  private static List<String> texts(List<Change> changes) {
    return changes.stream().map(RestoredLogTest::text).toList();
  }

  private static String text(Change change) {
    String value =
        change.value().map(it -> change.key().equals(ZONE) ? "" : new String(it)).orElse("deleted");
    return (change.key() + " " + value).trim();
  }

  /** Revisions of the restored store below, at and above the one that is known. */
  @DataProvider
  public Object[][] revisions() {
    return new Object[][] {{11L}, {20L}, {30L}};
  }

  @Test(dataProvider = "revisions")
  public void laterEraIsFollowedAtAnyRevision(long revision) {
    list(2, revision, numbered(CONFIGURATION, revision, 9), numbered(UPSTREAM, 5, 7));
    assertEquals(log.position(), new StorePosition(2, revision));
    List<String> applied =
        change(2, revision, revision + 1, numbered(CONFIGURATION, revision + 1, 10));
    assertEquals(applied, List.of(CONFIGURATION + " 10"));
  }

  @Test(dataProvider = "revisions")
  public void changesOfEarlierEraAreIgnored(long revision) {
    list(2, revision, numbered(CONFIGURATION, revision, 9), numbered(UPSTREAM, 5, 7));
    assertEquals(change(1, 20, 21, numbered(CONFIGURATION, 21, 9)), List.of());
    assertEquals(list(1, 40, numbered(CONFIGURATION, 40, 9)), List.of());
    assertEquals(log.position().era(), 2);
  }

  @Test
  public void changesOfLaterEraAreIgnoredWithoutListing() {
    assertEquals(change(2, 20, 21, numbered(CONFIGURATION, 21, 9)), List.of());
    assertEquals(log.position(), new StorePosition(1, 20));
  }

  @Test
  public void equalItemsAreNotAppliedAgain() {
    List<String> applied = list(2, 12, numbered(CONFIGURATION, 12, 8), numbered(UPSTREAM, 5, 7));
    assertEquals(applied, List.of());
    assertTrue(log.retained(0).isEmpty());
  }

  @Test
  public void configurationOutlivesTheCopyUntilItsVersionIsReached() {
    assertEquals(list(2, 10, numbered(CONFIGURATION, 4, 3), numbered(UPSTREAM, 5, 7)), List.of());
    assertEquals(change(2, 10, 25, numbered(CONFIGURATION, 25, 6)), List.of());
    assertEquals(texts(log.expireRetained(3_600_000)), List.of());
    assertEquals(change(2, 25, 26, Change.deletion(CONFIGURATION, 26, 0)), List.of());
    assertEquals(change(2, 26, 27, numbered(CONFIGURATION, 27, 8)), List.of(CONFIGURATION + " 8"));
    assertTrue(log.retained(0).isEmpty());
  }

  @Test
  public void upstreamThatTheCopyLacksIsDeletedUnlessItIsWrittenAgainInTime() {
    change(1, 20, 21, numbered("numbered late", 21, 1));
    change(1, 21, 22, numbered("numbered lost", 22, 1));
    list(2, 20, numbered(CONFIGURATION, 20, 8), numbered(UPSTREAM, 5, 7));
    assertEquals(texts(log.expireRetained(NumberedItems.MISSING_MILLIS - 1)), List.of());
    change(2, 20, 21, numbered("numbered late", 21, 5));
    assertEquals(
        texts(log.expireRetained(NumberedItems.MISSING_MILLIS)), List.of("numbered lost deleted"));
  }

  @Test
  public void laterWordOfAnUpstreamOutlivesItsEntryInTheCopy() {
    change(1, 20, 21, numbered(UPSTREAM, 21, 9));
    assertEquals(list(2, 10, numbered(CONFIGURATION, 4, 3), numbered(UPSTREAM, 5, 7)), List.of());
    assertEquals(
        change(2, 10, 11, Change.deletion(UPSTREAM, 11, 0)), List.of(UPSTREAM + " deleted"));
  }

  @Test
  public void deletedUpstreamStaysDeletedForSomeTimeAlthoughTheCopyHasIt() {
    change(1, 20, 21, Change.deletion(UPSTREAM, 21, 0));
    assertEquals(list(2, 10, numbered(CONFIGURATION, 4, 3), numbered(UPSTREAM, 5, 7)), List.of());
    assertEquals(texts(log.expireRetained(NumberedItems.OUTDATED_MILLIS - 1)), List.of());
    assertEquals(
        texts(log.expireRetained(NumberedItems.OUTDATED_MILLIS)), List.of(UPSTREAM + " 7"));
  }

  @Test
  public void deletedUpstreamThatIsWrittenAgainIsUsed() {
    change(1, 20, 21, Change.deletion(UPSTREAM, 21, 0));
    list(2, 10, numbered(CONFIGURATION, 4, 3), numbered(UPSTREAM, 5, 7));
    assertEquals(change(2, 10, 11, numbered(UPSTREAM, 11, 7)), List.of(UPSTREAM + " 7"));
    assertEquals(texts(log.expireRetained(NumberedItems.OUTDATED_MILLIS)), List.of());
  }

  @Test
  public void itemWithoutVersionOutlivesTheCopyUntilItIsWritten() {
    change(1, 20, 21, Change.put(ZONE, 21, VALUE));
    assertEquals(list(2, 12, numbered(CONFIGURATION, 12, 8), numbered(UPSTREAM, 5, 7)), List.of());
    assertEquals(change(2, 12, 13, Change.put(ZONE, 13, VALUE)), List.of(ZONE));
    assertEquals(texts(log.expireRetained(NumberedItems.OUTDATED_MILLIS)), List.of());
    assertEquals(change(2, 13, 14, Change.deletion(ZONE, 14, 0)), List.of(ZONE + " deleted"));
  }

  @Test
  public void secondReturnKeepsWhatTheFirstKept() {
    list(2, 10, numbered(CONFIGURATION, 4, 3), numbered(UPSTREAM, 5, 7));
    assertEquals(list(3, 9, numbered(CONFIGURATION, 4, 3), numbered(UPSTREAM, 5, 7)), List.of());
    assertEquals(log.retained(0).getFirst().era(), 1);
    assertEquals(change(3, 9, 10, numbered(CONFIGURATION, 10, 9)), List.of(CONFIGURATION + " 9"));
  }

  @Test
  public void vmThatHasJustStartedTakesOverWhatOthersKeep() {
    change(1, 20, 21, Change.deletion(UPSTREAM, 21, 0));
    Change[] copy = {numbered(CONFIGURATION, 4, 3), numbered(UPSTREAM, 5, 7)};
    list(2, 10, copy);
    ChangeLog other = log;
    createLogOfCopy(copy);
    List<String> applied = new ArrayList<>(texts(log.retain(other.retained(4_000), 100)));
    applied.sort(null);
    assertEquals(applied, List.of(CONFIGURATION + " 8", UPSTREAM + " deleted"));
    long endMillis = 100 + NumberedItems.OUTDATED_MILLIS - 4_000;
    assertEquals(texts(log.expireRetained(endMillis)), List.of(UPSTREAM + " 7"));
  }

  private void createLogOfCopy(Change... copy) {
    log = new ChangeLog(new NumberedItems());
    list(2, 10, copy);
  }

  @Test
  public void whatOthersKeepIsNotTakenOverIfTheStoreHasMore() {
    list(2, 10, numbered(CONFIGURATION, 4, 3), numbered(UPSTREAM, 5, 7));
    List<RetainedChange> kept = log.retained(0);
    createLogOfCopy(numbered(CONFIGURATION, 10, 9), numbered(UPSTREAM, 5, 7));
    assertTrue(log.retain(kept, 0).isEmpty());
    assertTrue(log.retained(0).isEmpty());
  }

  @Test
  public void followerOfEarlierEraReceivesListing() {
    list(2, 30, numbered(CONFIGURATION, 30, 9), numbered(UPSTREAM, 5, 7));
    assertTrue(log.changesAfter(new StorePosition(1, 40), 0).listing());
    assertFalse(log.changesAfter(new StorePosition(2, 30), 0).listing());
  }

  @Test
  public void followerOfLaterEraReceivesNothing() {
    ChangeBatch batch = log.changesAfter(new StorePosition(2, 3), 0);
    assertTrue(batch.changes().isEmpty());
    assertFalse(batch.listing());
  }

  /** Guards against what a VM that was suspended says of items that have changed since. */
  @Test
  public void whatThisVmHasKnownInTheEarlierEraIsNotTakenOver() {
    change(1, 20, 21, Change.put(ZONE, 21, VALUE));
    change(1, 21, 22, numbered("numbered gone", 22, 1));
    ChangeLog suspended = new ChangeLog(new NumberedItems());
    suspended.apply(log.changesAfter(StorePosition.NONE, 0), 0);
    change(1, 22, 23, Change.deletion(ZONE, 23, 0));
    change(1, 23, 24, Change.deletion("numbered gone", 24, 0));
    Change[] copy = {numbered(CONFIGURATION, 20, 8), numbered(UPSTREAM, 5, 7)};
    list(2, 20, copy);
    suspended.apply(ChangeBatch.listing(log.position(), List.of(copy), 0), 0);
    assertEquals(suspended.retained(0).size(), 2);
    assertEquals(log.retain(suspended.retained(0), 0), List.of());
    assertTrue(log.retained(0).isEmpty());
  }

  /** Guards against the loss of an upstream whose entry expired during an outage. */
  @Test
  public void deletionThatIsNotFinalDoesNotOutliveTheCopy() {
    change(1, 20, 21, Change.deletion(UPSTREAM, 21, 2_000));
    assertEquals(
        list(2, 10, numbered(CONFIGURATION, 20, 8), numbered(UPSTREAM, 5, 7)),
        List.of(UPSTREAM + " 7"));
  }
}
