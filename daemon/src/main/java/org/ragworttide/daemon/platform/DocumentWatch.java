package org.ragworttide.daemon.platform;

import java.time.Duration;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.ragworttide.daemon.log.EventLog;
import org.ragworttide.daemon.log.LogEvent;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;

/**
 * Watches one published document and passes each newer version to a listener.
 *
 * <p>Invariant: the listener receives versions in ascending order; one call to the service is open
 * at a time; a listener that fails does not end the watch. The listener runs on a thread of the
 * client. Safe for use by any thread.
 */
public final class DocumentWatch implements Disposable {
  private static final Duration WAIT = Duration.ofSeconds(20);
  private static final Duration PAUSE_AFTER_FAILURE = Duration.ofMillis(500);
  private static final Duration PAUSE_WHILE_INACTIVE = Duration.ofMillis(250);

  private final PlatformClient client;
  private final String name;
  private final BooleanSupplier active;
  private final Consumer<PlatformReply> listener;
  private volatile long version;
  private volatile Disposable loop;

  /**
   * Creates a watch, inactive until {@link #start()}.
   *
   * @param client the platform's service
   * @param name the document's name
   * @param active returns whether this daemon may call the service now
   * @param listener called with every newer version and every failure
   */
  public DocumentWatch(
      PlatformClient client,
      String name,
      BooleanSupplier active,
      Consumer<PlatformReply> listener) {
    this.client = client;
    this.name = name;
    this.active = active;
    this.listener = listener;
  }

  /** Starts to watch the document. */
  public DocumentWatch start() {
    loop = Mono.defer(this::step).onErrorResume(this::handleFailure).repeat().subscribe();
    return this;
  }

  @Override
  public void dispose() {
    if (loop != null) {
      loop.dispose();
    }
  }

  private Mono<Void> step() {
    if (!active.getAsBoolean()) {
      return Mono.delay(PAUSE_WHILE_INACTIVE).then();
    }
    Mono<PlatformReply> call = version == 0 ? client.read(name) : client.watch(name, version, WAIT);
    return call.flatMap(this::handle);
  }

  private Mono<Void> handle(PlatformReply reply) {
    return switch (reply) {
      case PlatformReply.Unchanged unchanged -> Mono.empty();
      case PlatformReply.Published published -> {
        boolean newer = published.version() > version;
        if (newer) {
          version = published.version();
          listener.accept(published);
        }
        yield newer ? Mono.empty() : pause();
      }
      case PlatformReply.Unavailable unavailable -> {
        listener.accept(unavailable);
        yield pause();
      }
    };
  }

  /** Goes on with the next version after one that the listener could not handle. */
  private Mono<Void> handleFailure(Throwable error) {
    EventLog.log(LogEvent.DOCUMENT_UNUSABLE, name, error);
    return pause();
  }

  private static Mono<Void> pause() {
    // Jitter spreads the calls of the readers when the service becomes available again.
    long jitterMillis = ThreadLocalRandom.current().nextLong(PAUSE_AFTER_FAILURE.toMillis());
    return Mono.delay(PAUSE_AFTER_FAILURE.plusMillis(jitterMillis)).then();
  }
}
