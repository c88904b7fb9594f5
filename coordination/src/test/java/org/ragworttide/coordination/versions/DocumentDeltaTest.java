package org.ragworttide.coordination.versions;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Arrays;
import java.util.SplittableRandom;
import org.testng.annotations.Test;

/** Tests that applying a delta yields the target and that deltas are small. */
public class DocumentDeltaTest {
  private static final long SEED = Long.getLong("seed", 20261204);

  @Test
  public void deltaOfRandomEditsYieldsTheTarget() {
    SplittableRandom random = new SplittableRandom(SEED);
    for (int round = 0; round < 500; round++) {
      byte[] base = new byte[random.nextInt(3_000)];
      for (int i = 0; i < base.length; i++) {
        base[i] = (byte) "abc,}\n".charAt(random.nextInt(6));
      }
      byte[] target = Arrays.copyOf(base, random.nextInt(3_000));
      for (int i = 0; i < random.nextInt(20) && target.length > 0; i++) {
        target[random.nextInt(target.length)] = (byte) random.nextInt(256);
      }
      DocumentDelta delta = DeltaEncoder.between(1, base, 2, target);
      assertEquals(delta.applyTo(base).orElseThrow(), target, "seed " + SEED + " " + round);
    }
  }

  @Test
  public void deltaOfOneWithdrawnKeyInLargeDocumentIsSmall() {
    byte[] base = PropagationFleet.document(100, 300_000);
    byte[] target = PropagationFleet.document(101, 300_000);
    DocumentDelta delta = DeltaEncoder.between(100, base, 101, target);
    assertTrue(delta.sizeBytes() < 512, "size " + delta.sizeBytes());
  }

  @Test
  public void deltaDoesNotApplyToAnotherBase() {
    byte[] base = PropagationFleet.document(1, 2_000);
    DocumentDelta delta = DeltaEncoder.between(1, base, 2, PropagationFleet.document(2, 2_000));
    base[1_000]++;
    assertTrue(delta.applyTo(base).isEmpty());
  }
}
