package org.ragworttide.gateway.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.Set;
import org.ragworttide.coordination.feed.FeedMember;
import org.ragworttide.coordination.feed.StorePosition;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.placement.LoadReport;
import org.ragworttide.coordination.placement.PromptIndex;
import org.ragworttide.coordination.placement.RequestLimit;
import org.ragworttide.coordination.placement.StatedLimit;
import org.ragworttide.coordination.placement.StatedTolerance;
import org.ragworttide.coordination.quarantine.Clearance;
import org.ragworttide.coordination.quarantine.CrashReport;
import org.ragworttide.coordination.quarantine.Suspect;
import org.ragworttide.coordination.quarantine.SuspicionStatement;
import org.ragworttide.coordination.zones.ZoneLosses;
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
          new StorePosition(2, 1_234),
          List.of(new KnownVm(new FeedMember(1L << 47, 3), 200)),
          Map.of(5, 2),
          List.of(new PromptIndex.Holding(1, 5)),
          new SuspicionStatement(
              List.of(
                  new CrashReport(
                      Set.of(new Suspect(-5), new Suspect(8)), 6, -599_990 - 65_535, -599_990)),
              List.of(new Clearance(new Suspect(7), -20))),
          List.of(
              new StatedLimit(-6, OptionalDouble.of(2.718), -1_230),
              new StatedLimit(7, OptionalDouble.of(RequestLimit.MAX_PER_SECOND), -10),
              new StatedLimit(8, OptionalDouble.empty(), 0)),
          List.of(9, -10),
          List.of(new LoadReport(-11, 255, 0), new LoadReport(12, 0, -2_000)),
          List.of(-13, 14),
          Map.of(-15, new ZoneLosses(1, 250, 40_000, 0)),
          List.of(
              new StatedTolerance(-16, OptionalInt.of(0), -1_230),
              new StatedTolerance(17, OptionalInt.of(StatedTolerance.MAX_REJECTIONS), 0),
              new StatedTolerance(18, OptionalInt.empty(), -10)));

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
