package org.ragworttide.daemon.caller;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;
import org.ragworttide.daemon.relay.ProblemCode;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * Set of the running requests and their API keys, so that the withdrawal of a key can end its
 * requests.
 *
 * <p>Safe for use by any thread.
 */
final class RunningRequests {
  private final Set<Running> requests = ConcurrentHashMap.newKeySet();

  /** Adds a request; the caller of this method must end it. */
  Running start(Optional<CallerKey> key) {
    Running running = new Running(key);
    requests.add(running);
    return running;
  }

  /** Ends the requests whose key is no longer valid, and returns their number. */
  int endWithdrawn(Predicate<CallerKey> valid) {
    int ended = 0;
    for (Running running : requests) {
      if (running.key.isPresent() && !valid.test(running.key.get())) {
        running.withdrawn.tryEmitValue(ProblemCode.KEY_WITHDRAWN);
        ended++;
      }
    }
    return ended;
  }

  /** A running request. */
  final class Running {
    private final Optional<CallerKey> key;
    private final Sinks.One<ProblemCode> withdrawn = Sinks.one();

    private Running(Optional<CallerKey> key) {
      this.key = key;
    }

    Mono<ProblemCode> withdrawn() {
      return withdrawn.asMono();
    }

    void end() {
      requests.remove(this);
    }
  }
}
