import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;

/** Clients that send bookings (unsafe requests) one after another, each on a kept channel. */
final class Bookings {
  private Bookings() {}

  static List<Caller.Answer> send(Review review, int clients, long millis, int deadlineMs) throws InterruptedException {
    ConcurrentLinkedQueue<Caller.Answer> answers = new ConcurrentLinkedQueue<>();
    long until = System.nanoTime() + millis * 1_000_000;
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < clients; i++) {
      Review.Gateway gateway = review.gateways.get(i % review.gateways.size());
      threads.add(
          Review.daemon(
              () -> {
                try (Caller caller = new Caller(review, gateway)) {
                  while (System.nanoTime() < until) {
                    Caller.Answer answer =
                        caller.send(Caller.nextId(), "POST", "/puxa403/book", Review.bytes("a booking"), deadlineMs);
                    answers.add(answer);
                    Review.sleep(answer.status() == 503 ? 250 : 20);
                  }
                }
              }));
    }
    for (Thread thread : threads) {
      thread.join();
    }
    Review.sleep(1_500);
    return new ArrayList<>(answers);
  }

  /** Counts the requests that ran more than once and those that ran although a status says that they have not. */
  static int[] judge(Review review, List<Caller.Answer> answers, List<PlainServer> servers) {
    Map<String, List<String>> runs = new HashMap<>();
    for (PlainServer server : servers) {
      server.server.runs.forEach(
          (request, count) -> {
            for (int i = 0; i < count.get(); i++) {
              runs.computeIfAbsent(request, name -> new ArrayList<>()).add(server.server.id);
            }
          });
    }
    int twice = 0;
    int refusedButRun = 0;
    for (Caller.Answer answer : answers) {
      List<String> at = runs.getOrDefault(answer.id(), List.of());
      if (at.size() > 1) {
        twice++;
        review.note("TWICE " + answer.id() + " ran at " + at + ", answered " + answer.status());
      }
      if (!at.isEmpty() && List.of(408, 421, 429, 503).contains(answer.status())) {
        refusedButRun++;
        review.note("REFUSED " + answer.id() + " ran at " + at + ", answered " + answer.status());
      }
    }
    long ok = answers.stream().filter(it -> it.status() == 200).count();
    int spoiled = servers.stream().mapToInt(it -> it.spoiled.get()).sum();
    int given = servers.stream().mapToInt(it -> it.answers.get()).sum();
    review.note(
        "COUNT " + answers.size() + " bookings, " + ok + " with 200, " + spoiled + " of " + given
            + " servers' answers spoiled, " + twice + " ran twice, " + refusedButRun
            + " refused as not run but run");
    return new int[] {twice, refusedButRun};
  }
}
