package org.ragworttide.coordination.streams;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import org.ragworttide.coordination.streams.StoreListing.Item;
import org.ragworttide.coordination.streams.StoreListing.Kind;
import org.testng.annotations.Test;

/** Tests what a VM that has just started concludes from a listing of the store. */
public class StoreListingTest {
  private static Item configuration(long created, long revision) {
    return new Item(Kind.CONFIGURATION, created, revision);
  }

  private static Item upstream(long created, long revision) {
    return new Item(Kind.UPSTREAM, created, revision);
  }

  private static boolean isComplete(long revision, Item... items) {
    return StoreListing.of(0, revision, List.of(items)).isComplete();
  }

  @Test
  public void listingIsCompleteIfEachRevisionSinceTheConfigurationBelongsToAnItem() {
    assertTrue(isComplete(103, configuration(101, 101), upstream(102, 102), upstream(103, 103)));
    assertTrue(isComplete(103, upstream(101, 101), configuration(102, 103)));
    assertTrue(isComplete(9, upstream(3, 3), configuration(8, 8), upstream(9, 9)));
  }

  /** Guards against versions whose upstreams were removed before all VMs were killed. */
  @Test
  public void listingIsIncompleteAfterDeletion() {
    assertFalse(isComplete(104, configuration(101, 101), upstream(102, 102), upstream(103, 103)));
  }

  /** Guards against a version that has replaced another, whenever its upstreams have started. */
  @Test
  public void listingIsIncompleteAfterReplacement() {
    assertFalse(isComplete(104, configuration(101, 101), upstream(104, 104)));
  }

  @Test
  public void listingIsIncompleteAfterAnItemWasWrittenAgain() {
    assertFalse(isComplete(4, configuration(1, 1), upstream(2, 2), upstream(3, 4)));
  }

  /** Guards against an upstream that has started again under its id with another version. */
  @Test
  public void listingIsIncompleteAfterAnUpstreamOfBeforeWasWrittenAgain() {
    assertFalse(isComplete(3, upstream(1, 3), configuration(2, 2)));
  }

  /** Guards against items that change between the pages of a listing. */
  @Test
  public void itemThatIsWrittenDuringTheListingHidesItsRevisionBefore() {
    assertFalse(isComplete(3, configuration(1, 1), upstream(2, 2), upstream(3, 4)));
  }

  @Test
  public void historyStartsBeforeAllListedItems() {
    StoreListing listing =
        StoreListing.of(0, 9, List.of(upstream(3, 3), configuration(5, 9), upstream(0, 6)));
    assertEquals(listing.historyStart(), OptionalLong.of(2));
  }

  @Test
  public void listingWithoutConfigurationTellsNothing() {
    StoreListing listing = StoreListing.of(0, 2, List.of(upstream(1, 1), configuration(0, 2)));
    assertFalse(listing.isComplete());
    assertEquals(listing.historyStart(), OptionalLong.empty());
  }

  /** Guards against a store that has lost what happened since its copy was made. */
  @Test
  public void listingOfStoreThatHasReturnedTellsNothing() {
    StoreListing listing = StoreListing.of(1, 1, List.of(configuration(1, 1)));
    assertFalse(listing.isComplete());
    assertEquals(listing.historyStart(), OptionalLong.empty());
  }

  /** Replays stores that change at random: a complete listing never hides an upstream. */
  @Test
  public void noUpstreamSinceTheConfigurationIsHidden() {
    int complete = 0;
    for (int seed = 0; seed < 5_000; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      Map<Integer, Item> items = new HashMap<>();
      Set<Long> incarnations = new HashSet<>();
      boolean isConfigured = false;
      long revision = random.nextInt(5);
      for (int step = 1 + random.nextInt(10); step > 0; step--) {
        revision++;
        int key = random.nextInt(6);
        Item before = items.remove(key);
        if (key == 0) {
          items.put(
              key, configuration(before == null ? revision : before.createdRevision(), revision));
          if (!isConfigured) {
            items.values().stream()
                .filter(item -> item.kind() == Kind.UPSTREAM)
                .forEach(item -> incarnations.add(item.revision()));
          }
          isConfigured = true;
        } else if (before == null || random.nextInt(3) > 0) {
          items.put(key, upstream(before == null ? revision : before.createdRevision(), revision));
          if (isConfigured) {
            incarnations.add(revision);
          }
        }
      }
      StoreListing listing = StoreListing.of(0, revision, new ArrayList<>(items.values()));
      if (listing.isComplete()) {
        complete++;
        Set<Long> present = new HashSet<>();
        items.values().forEach(item -> present.add(item.revision()));
        assertTrue(present.containsAll(incarnations), "seed " + seed);
      }
    }
    assertTrue(complete > 100, "complete " + complete);
  }
}
