package org.ragworttide.coordination.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;

/** Tests which prompt parts the index records for each engine. */
public class PromptIndexTest {
  private static final long NOW = 1_000;

  private final UpstreamLoad engine =
      PlacementFixture.engine("engine", PlacementFixture.OLD_MILLIS);
  private final Prompt prompt = PlacementFixture.prompt(1, 7, 1);

  @Test
  public void engineHoldsThePartsItWasSent() {
    PromptIndex index = new PromptIndex();
    index.recordSentPrompt(prompt, engine, NOW);
    assertTrue(index.holds(prompt.parts().get(0), engine, NOW));
    assertTrue(index.holds(prompt.affinityPart(), engine, NOW));
  }

  @Test
  public void partOfTheRequestAloneIsNotIndexed() {
    PromptIndex index = new PromptIndex();
    index.recordSentPrompt(prompt, engine, NOW);
    assertFalse(index.holds(prompt.parts().get(2), engine, NOW));
  }

  @Test
  public void crashedEngineHoldsNothing() {
    PromptIndex index = new PromptIndex();
    index.recordSentPrompt(prompt, engine, NOW);
    index.removeEngine(engine.key());
    assertFalse(index.holds(prompt.affinityPart(), engine, NOW));
  }

  @Test
  public void unusedEntryExpires() {
    PromptIndex index = new PromptIndex();
    index.recordSentPrompt(prompt, engine, NOW);
    assertTrue(index.holds(prompt.affinityPart(), engine, NOW + 59_000));
    assertFalse(index.holds(prompt.affinityPart(), engine, NOW + 60_000));
  }

  @Test
  public void onlyNewHoldingsAreReturnedForPeers() {
    PromptIndex index = new PromptIndex();
    index.recordSentPrompt(prompt, engine, NOW);
    index.recordSentPrompt(prompt, engine, NOW + 1);
    assertEquals(index.drainNewHoldings().size(), 2);
    assertEquals(index.drainNewHoldings(), List.of());
  }

  @Test
  public void holdingOfAnotherVmIsRecordedAndNotForwarded() {
    PromptIndex index = new PromptIndex();
    int part = PromptIndex.key(prompt.affinityPart().idHash());
    index.recordPeerHolding(new PromptIndex.Holding(part, engine.key()), NOW);
    assertTrue(index.holds(prompt.affinityPart(), engine, NOW));
    assertEquals(index.drainNewHoldings(), List.of());
  }

  @Test
  public void leastRecentlyUsedPartsAreEvicted() {
    PromptIndex index = new PromptIndex();
    index.recordSentPrompt(prompt, engine, NOW);
    for (int session = 100; session < 17_000; session++) {
      index.recordSentPrompt(PlacementFixture.prompt(2, session, 1), engine, NOW);
    }
    assertFalse(index.holds(prompt.affinityPart(), engine, NOW));
  }
}
