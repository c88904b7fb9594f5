package org.ragworttide.daemon.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.ragworttide.daemon.process.DaemonProcesses.Answer;
import org.ragworttide.fakes.FakeBookingService;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/**
 * Tests daemon processes while a service restarts or is taken out of service, and while peer links
 * are cut.
 */
public class ServiceProcessTest {
  private static final int RETENTION_SECONDS = 6;
  private static final int COLD_LIMIT = 16;
  private static final int ANSWERS_WHILE_COLD = 12;
  private static final int BURST = 40;
  private static final int RATE_PER_SECOND = 30;
  private static final int CUT_ROUNDS = 24;
  private static final long BUSY_MILLIS = 1_000;
  private static final long SLOW_MILLIS = 2_000;

  private final List<PeerRelay> relays = new ArrayList<>();
  private DaemonProcesses fleet;
  private FakeBookingService service;
  private long version;

  /** Starts three daemons whose peer links pass through relays, and waits until a booking runs. */
  @BeforeClass
  public void start() throws IOException {
    // The relays listen before the fleet chooses its ports, so that no port is used twice.
    for (int i = 0; i < 3; i++) {
      relays.add(new PeerRelay());
    }
    Iterator<PeerRelay> next = relays.iterator();
    fleet = new DaemonProcesses(port -> next.next().relayTo(port));
    service = fleet.fakes().bookings();
    publish("IN");
    fleet.awaitFirstBooking();
  }

  /** Stops the daemons, the fakes and the relays. */
  @AfterClass(alwaysRun = true)
  public void stop() throws IOException {
    service.close();
    fleet.close();
    for (PeerRelay relay : relays) {
      relay.close();
    }
  }

  @Test
  public void restartedServiceReceivesNoMoreConcurrentBookingsThanItsColdLimit() {
    service.close();
    assertTrue(fleet.book(0, "down").join().reportsNotRun(), "a booking ran at no service");
    service = FakeBookingService.start(service.port(), Set.of(DaemonProcesses.KEY));
    service.setAnswerDelayMillis(BUSY_MILLIS);
    awaitFullBurst();
    Map<String, Answer> answers = bookThroughDaemonsThatSawNoFailure();
    service.setAnswerDelayMillis(0);
    int highest = service.maxInFlightBefore(ANSWERS_WHILE_COLD);
    assertTrue(highest > 0 && highest <= COLD_LIMIT, highest + " bookings at once");
    answers.forEach(
        (key, answer) -> checkOutcomes(key, List.of(CompletableFuture.completedFuture(answer))));
  }

  /**
   * Sends a burst through the daemons that saw no failure: the circuit breakers block a daemon that
   * saw one, and the others know of it only from the owner.
   */
  private Map<String, Answer> bookThroughDaemonsThatSawNoFailure() {
    Map<String, CompletableFuture<Answer>> sent = new HashMap<>();
    for (int i = 0; i < BURST; i++) {
      sent.put("cold-" + i, fleet.book(1 + i % 2, "cold-" + i));
    }
    Map<String, Answer> answers = new HashMap<>();
    sent.forEach((key, answer) -> answers.put(key, answer.join()));
    return answers;
  }

  @Test(dependsOnMethods = "restartedServiceReceivesNoMoreConcurrentBookingsThanItsColdLimit")
  public void bookingsRunOnceAndWithinTheRateWhilePeerLinksAreCut() {
    fleet.awaitFirstBooking();
    final int runsBefore = service.runs();
    final long startNanos = System.nanoTime();
    Map<String, List<CompletableFuture<Answer>>> sent = new HashMap<>();
    for (int round = 0; round < CUT_ROUNDS; round++) {
      cut(round);
      for (int i = 0; i < 15; i++) {
        String key = "cut-" + round + "-" + i;
        sent.put(key, book(key, i, 1 + i % 2));
      }
      DaemonProcesses.pause();
      DaemonProcesses.pause();
    }
    relays.forEach(relay -> relay.setCut(false));
    sent.values().forEach(answers -> answers.forEach(CompletableFuture::join));
    double seconds = (System.nanoTime() - startNanos) / 1e9;
    int runs = service.runs() - runsBefore;
    assertTrue(runs > 0 && runs <= BURST + RATE_PER_SECOND * seconds, runs + " in " + seconds);
    sent.forEach(this::checkOutcomes);
  }

  @Test(dependsOnMethods = "bookingsRunOnceAndWithinTheRateWhilePeerLinksAreCut")
  public void daemonThatStartsWhileThePlatformIsDownJoinsTheFleetThroughSeed() throws Exception {
    fleet.fakes().platform().setDown(true);
    fleet.kill(2);
    fleet.restartWithSeed(2, 0);
    DaemonProcesses.await(() -> fleet.status(2).contains("\"ready\":true"));
    int[] tries = {0};
    DaemonProcesses.await(() -> fleet.book(2, "seeded-" + tries[0]++).join().status() == 201);
    fleet.fakes().platform().setDown(false);
  }

  @Test(dependsOnMethods = "daemonThatStartsWhileThePlatformIsDownJoinsTheFleetThroughSeed")
  public void serviceTakenOutOfServiceReceivesNoNewBookingWhileTheRunningOneCompletes() {
    fleet.awaitFirstBooking();
    service.setAnswerDelayMillis(SLOW_MILLIS);
    final CompletableFuture<Answer> running = fleet.book(1, "running");
    DaemonProcesses.await(() -> service.runs("running") == 1);
    publish("OUT");
    for (int daemon = 0; daemon < 3; daemon++) {
      int queried = daemon;
      DaemonProcesses.await(
          () -> fleet.status(queried).contains("\"configurationVersion\":" + version));
    }
    final int runs = service.runs();
    for (CompletableFuture<Answer> answer : bookEverywhere("out", 9)) {
      assertTrue(answer.join().reportsNotRun(), answer.join().toString());
    }
    assertEquals(service.runs(), runs);
    assertEquals(running.join().status(), 201, running.join().body());
  }

  /** Waits until the rate limit of the organisation admits a full burst again. */
  private static void awaitFullBurst() {
    for (int i = 0; i <= 10 * BURST / RATE_PER_SECOND; i++) {
      DaemonProcesses.pause();
    }
  }

  /**
   * Cuts the incoming peer links of one daemon or of all daemons, depending on the round, or of
   * none.
   */
  private void cut(int round) {
    for (int daemon = 0; daemon < 3; daemon++) {
      relays.get(daemon).setCut(round % 8 == 2 || round % 8 == 5 && daemon == round % 3);
    }
  }

  private List<CompletableFuture<Answer>> bookEverywhere(String prefix, int count) {
    List<CompletableFuture<Answer>> answers = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      answers.add(fleet.book(i % 3, prefix + "-" + i));
    }
    return answers;
  }

  private List<CompletableFuture<Answer>> book(String key, int firstDaemon, int copies) {
    List<CompletableFuture<Answer>> answers = new ArrayList<>();
    for (int copy = 0; copy < copies; copy++) {
      answers.add(fleet.book((firstDaemon + copy) % 3, key));
    }
    return answers;
  }

  /**
   * Checks all answers to a key: a copy that releases its claim without a run leaves the key to the
   * other copy, so that the booking has not run only if every copy was refused.
   */
  private void checkOutcomes(String key, List<CompletableFuture<Answer>> answers) {
    int runs = service.runs(key);
    assertTrue(runs <= 1, key + " ran " + runs + " times");
    if (answers.stream().anyMatch(answer -> answer.join().status() == 201)) {
      assertEquals(runs, 1, key + " was answered without a run");
    }
    if (answers.stream().allMatch(answer -> answer.join().reportsNotRun())) {
      assertEquals(runs, 0, key + " ran, but its caller received: " + answers.getFirst().join());
    }
  }

  private void publish(String state) {
    version++;
    fleet.publish(
        version,
        TestDocuments.configuration(version, RETENTION_SECONDS, service.port(), false)
            .replace("\"ratePerSecond\": 200, \"burst\": 400", rate())
            .replace(
                "\"service\": \"IN\", \"coldConcurrency\"",
                "\"service\": \"" + state + "\", \"coldConcurrency\""));
  }

  private static String rate() {
    return "\"ratePerSecond\": " + RATE_PER_SECOND + ", \"burst\": " + BURST;
  }
}
