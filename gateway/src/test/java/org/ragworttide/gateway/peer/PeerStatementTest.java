package org.ragworttide.gateway.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.ragworttide.coordination.feed.FeedMember;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.placement.PromptIndex;
import org.ragworttide.coordination.quarantine.CrashSuspicions;
import org.ragworttide.gateway.peer.PeerStatement.KnownVm;
import org.testng.annotations.Test;

/** Tests the statements between VMs. */
public class PeerStatementTest {
  private static final PeerStatement STATEMENT =
      new PeerStatement(
          new VmId("vm"),
          8,
          9,
          -7,
          1_234,
          List.of(new KnownVm(new FeedMember(1L << 47, 3), 200)),
          Map.of(5, 2),
          List.of(new PromptIndex.Holding(1, 5)),
          List.of(new CrashSuspicions.Crash(1L << 63, 5)));

  @Test
  public void decodedStatementEqualsTheEncodedOne() {
    assertEquals(PeerStatement.decode(STATEMENT.encode()).orElseThrow(), STATEMENT);
  }

  @Test
  public void truncatedStatementIsRefused() {
    byte[] bytes = STATEMENT.encode();
    assertTrue(PeerStatement.decode(Arrays.copyOf(bytes, bytes.length - 1)).isEmpty());
  }
}
