package org.ragworttide.coordination.streams;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import java.util.Optional;
import org.testng.annotations.Test;

/** Tests what a VM remembers of streams, and which version may continue those that it forgot. */
public class StreamVersionsTest {
  private static final StreamId STREAM = StreamId.of("stream");
  private static final SoftwareVersion OLD = SoftwareVersion.of("service", "v1");
  private static final SoftwareVersion NEW = SoftwareVersion.of("service", "v2");
  private static final long LIFETIME = StreamVersions.LIFETIME_MILLIS;

  @Test
  public void streamIsRememberedUntilItsLifetimeAfterItsLastUse() {
    StreamVersions versions = new StreamVersions();
    versions.record(STREAM, OLD, 0);
    assertEquals(versions.find(STREAM, LIFETIME), Optional.of(OLD));
    assertEquals(versions.find(STREAM, 2 * LIFETIME), Optional.of(OLD));
    assertEquals(versions.find(STREAM, 3 * LIFETIME + 1), Optional.empty());
  }

  @Test
  public void streamThatBeginsAgainHasTheLaterVersion() {
    StreamVersions versions = new StreamVersions();
    versions.record(STREAM, OLD, 0);
    versions.record(STREAM, NEW, 1);
    assertEquals(versions.find(STREAM, 2), Optional.of(NEW));
  }

  private static void assertSole(SoftwareVersion version, SoleVersion sole) {
    assertEquals(sole, new SoleVersion.Known(version));
  }

  private static void assertNotSole(SoleVersion sole) {
    assertFalse(sole instanceof SoleVersion.Known, sole.toString());
  }

  @Test
  public void versionIsSoleWhileAllUpstreamsHaveIt() {
    VersionHistory history = new VersionHistory(-LIFETIME - 1);
    history.recordPresent(OLD);
    history.recordPresent(OLD);
    assertSole(OLD, history.sole(LIFETIME, 0));
    history.recordPresent(NEW);
    assertNotSole(history.sole(LIFETIME, 0));
  }

  @Test
  public void versionIsNotSoleSoonAfterAnotherIsGone() {
    VersionHistory history = new VersionHistory(-LIFETIME - 1);
    history.recordPresent(OLD);
    history.recordPresent(NEW);
    history.recordGone(OLD, 10);
    assertNotSole(history.sole(LIFETIME, LIFETIME + 10));
    assertSole(NEW, history.sole(LIFETIME, LIFETIME + 11));
  }

  /** Guards against VMs that take the versions since their start for all, however old they are. */
  @Test
  public void versionIsNotSoleForVmThatHasJustStarted() {
    VersionHistory history = new VersionHistory(0);
    history.recordPresent(NEW);
    assertEquals(history.sole(LIFETIME, 1_000), new SoleVersion.Unobserved());
    assertNotSole(history.sole(LIFETIME, LIFETIME));
    assertSole(NEW, history.sole(LIFETIME, LIFETIME + 1));
  }

  @Test
  public void versionIsSoleForVmThatHasJustStartedAndKnowsThePast() {
    VersionHistory history = new VersionHistory(0);
    history.recordPresent(NEW);
    history.recordPastKnown();
    assertSole(NEW, history.sole(LIFETIME, 0));
  }

  /** Guards against streams joined with those of a version that went before the VM's start. */
  @Test
  public void versionOfThePastCountsLikeOneThatIsGone() {
    VersionHistory history = new VersionHistory(-LIFETIME - 1);
    history.recordPresent(NEW);
    history.recordEarlier(NEW, 0);
    assertSole(NEW, history.sole(LIFETIME, 0));
    history.recordEarlier(OLD, 0);
    assertNotSole(history.sole(LIFETIME, LIFETIME));
    assertSole(NEW, history.sole(LIFETIME, LIFETIME + 1));
  }

  @Test
  public void versionIsNotSoleSoonAfterAnUnknownUpstreamIsGone() {
    VersionHistory history = new VersionHistory(-LIFETIME - 1);
    history.recordPresent(NEW);
    history.recordUnknownGone(0);
    assertNotSole(history.sole(LIFETIME, LIFETIME));
    assertSole(NEW, history.sole(LIFETIME, LIFETIME + 1));
  }

  @Test
  public void versionIsNotSoleSoonAfterChangesWereMissed() {
    VersionHistory history = new VersionHistory(-LIFETIME - 1);
    history.recordPresent(NEW);
    assertSole(NEW, history.sole(LIFETIME, 0));
    history.restartObservation(0);
    assertNotSole(history.sole(LIFETIME, LIFETIME));
    assertSole(NEW, history.sole(LIFETIME, LIFETIME + 1));
  }

  @Test
  public void serviceWithoutUpstreamsHasNoSoleVersion() {
    assertNotSole(new VersionHistory(0).sole(LIFETIME, LIFETIME + 1));
  }

  /** Guards against refusals for longer than a stream of the route can last. */
  @Test
  public void streamsOfShortRoutesGoOnSoonAfterTheStartOfTheVm() {
    VersionHistory history = new VersionHistory(0);
    history.recordPresent(NEW);
    assertNotSole(history.sole(8_000, 8_000));
    assertSole(NEW, history.sole(8_000, 8_001));
    assertNotSole(history.sole(Long.MAX_VALUE, LIFETIME));
    assertSole(NEW, history.sole(Long.MAX_VALUE, LIFETIME + 1));
  }

  @Test
  public void versionThatIsGoneForLongerThanAnyStreamDoesNotCount() {
    VersionHistory history = new VersionHistory(0);
    history.recordPresent(OLD);
    history.recordPresent(NEW);
    history.recordGone(OLD, 10_000);
    assertNotSole(history.sole(8_000, 18_000));
    assertSole(NEW, history.sole(8_000, 18_001));
  }
}
