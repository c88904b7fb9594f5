package org.ragworttide.coordination.streams;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.ragworttide.coordination.streams.StoreListing.Item;
import org.ragworttide.coordination.streams.StoreListing.Mark;
import org.testng.annotations.Test;

/** Tests what a VM that has just started concludes from a listing of the store. */
public class StoreListingTest {
  private static final long SECOND = 1_000;
  private static final long NOW = 1_000_000 * SECOND;
  private static final long LATELY = NOW - 20 * SECOND;
  private static final long LONG_AGO = NOW - 3_600 * SECOND;

  private static Item configuration(long revision) {
    return new Item(1, revision, 0);
  }

  private static Item upstream(long revision, long startedAtMillis) {
    return new Item(revision, revision, startedAtMillis);
  }

  private static boolean isComplete(long revision, Item... items) {
    StoreListing listing = StoreListing.of(0, revision, List.of(items));
    return listing.markBefore(LATELY).filter(listing::isCompleteSince).isPresent();
  }

  @Test
  public void listingIsCompleteIfEachRevisionBelongsToAnItem() {
    assertTrue(isComplete(3, configuration(1), upstream(2, LONG_AGO), upstream(3, LONG_AGO)));
    assertTrue(isComplete(3, configuration(1), upstream(2, LONG_AGO), upstream(3, NOW)));
  }

  /** Guards against versions whose upstreams were removed before all VMs were killed. */
  @Test
  public void listingIsIncompleteAfterDeletion() {
    assertFalse(isComplete(4, configuration(1), upstream(2, LONG_AGO), upstream(3, LONG_AGO)));
  }

  @Test
  public void listingIsIncompleteAfterAnItemWasWrittenAgain() {
    assertFalse(isComplete(4, configuration(1), upstream(2, LONG_AGO), new Item(3, 4, LONG_AGO)));
  }

  /** Guards against an upstream that has started again under its id with another version. */
  @Test
  public void listingIsIncompleteAfterAnUpstreamHasStartedAgain() {
    assertFalse(isComplete(3, new Item(1, 3, NOW), upstream(2, LONG_AGO)));
    assertTrue(isComplete(3, new Item(1, 3, LONG_AGO), upstream(2, LONG_AGO)));
  }

  @Test
  public void whatWasLostBeforeTheMarkDoesNotCount() {
    assertTrue(isComplete(9, configuration(7), upstream(8, LONG_AGO), upstream(9, LONG_AGO)));
  }

  /** Guards against items that change between the pages of a listing. */
  @Test
  public void itemThatIsWrittenDuringTheListingHidesItsRevisionBefore() {
    assertFalse(isComplete(3, configuration(1), upstream(2, LONG_AGO), new Item(3, 4, LONG_AGO)));
  }

  @Test
  public void listingWithoutUpstreamThatStartedBeforeHasNoMark() {
    StoreListing listing = StoreListing.of(0, 2, List.of(configuration(1), upstream(2, LATELY)));
    assertEquals(listing.markBefore(LATELY), Optional.empty());
    assertEquals(
        listing.markBefore(LATELY + StoreListing.PUBLICATION_MILLIS),
        Optional.of(new Mark(2, LATELY + StoreListing.PUBLICATION_MILLIS)));
  }

  @Test
  public void itemWithoutItsFirstRevisionIsNoMark() {
    StoreListing listing = StoreListing.of(0, 1, List.of(new Item(0, 1, LONG_AGO)));
    assertEquals(listing.markBefore(NOW), Optional.empty());
  }

  /** Guards against entries that expired and were published again long after their start. */
  @Test
  public void firstOfSeveralMarksCounts() {
    StoreListing listing =
        StoreListing.of(0, 9, List.of(upstream(3, LONG_AGO + SECOND), upstream(9, LONG_AGO)));
    assertEquals(listing.markBefore(LATELY).map(Mark::revision), Optional.of(3L));
  }

  /** Guards against a store that has lost what happened since its copy was made. */
  @Test
  public void listingOfLaterEraTellsNothing() {
    StoreListing listing = StoreListing.of(1, 1, List.of(upstream(1, LONG_AGO)));
    assertEquals(listing.markBefore(NOW), Optional.empty());
  }

  /** Replays stores that change at random: a complete listing never hides a deletion. */
  @Test
  public void noDeletionAfterTheMarkIsHidden() {
    for (int seed = 0; seed < 2_000; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      Map<Integer, Item> items = new HashMap<>();
      long lastDeletion = 0;
      long revision = 0;
      for (int step = 1 + random.nextInt(12); step > 0; step--) {
        revision++;
        int key = random.nextInt(4);
        Item before = items.remove(key);
        if (before != null && random.nextInt(3) == 0) {
          lastDeletion = revision;
        } else {
          long created = before == null ? revision : before.createdRevision();
          items.put(key, new Item(created, revision, random.nextBoolean() ? LONG_AGO : NOW));
        }
      }
      StoreListing listing = StoreListing.of(0, revision, new ArrayList<>(items.values()));
      Optional<Mark> mark = listing.markBefore(LATELY);
      if (mark.isPresent() && listing.isCompleteSince(mark.get())) {
        assertTrue(lastDeletion <= mark.get().revision(), "seed " + seed);
      }
    }
  }
}
