package org.ragworttide.coordination.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.ragworttide.coordination.hash.Rendezvous;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.id.ZoneId;

/** Engines and prompts for tests of placement; stateless. */
final class PlacementFixture {
  static final long WALL_MILLIS = 1_800_000_000_000L;

  /** Start time of an engine that has run for long, one hour before the wall time of the tests. */
  static final long OLD_MILLIS = WALL_MILLIS - 3_600_000;

  private PlacementFixture() {}

  static EnginePlacement placement() {
    return placement(new PromptIndex());
  }

  static EnginePlacement placement(PromptIndex index) {
    return new EnginePlacement(new ZoneId("zone"), index, new SplittableRandom(20261206));
  }

  static List<UpstreamLoad> engines(int count) {
    List<UpstreamLoad> engines = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      engines.add(engine("engine-" + i, OLD_MILLIS));
    }
    return engines;
  }

  static UpstreamLoad engine(String name, long startUnixMillis) {
    return engine(name, "zone", startUnixMillis);
  }

  static UpstreamLoad engine(String name, String zone, long startUnixMillis) {
    return new UpstreamLoad(
        new UpstreamId(name), new ZoneId(zone), 96, startUnixMillis, new PeerLoads());
  }

  static Prompt prompt(int first, int session, int request) {
    List<PromptPart> parts =
        List.of(
            part("first-" + first, 2_500),
            part("session-" + session, 6_000),
            part("request-" + request, 500));
    return new Prompt(parts, 9_000, 200);
  }

  private static PromptPart part(String name, int tokens) {
    return new PromptPart(Rendezvous.hash(name), tokens);
  }
}
