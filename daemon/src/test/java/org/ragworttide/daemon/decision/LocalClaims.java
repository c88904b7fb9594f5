package org.ragworttide.daemon.decision;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import org.ragworttide.coordination.id.OrganisationId;
import org.ragworttide.coordination.id.RequestKey;
import reactor.core.publisher.Mono;

/**
 * Grants claims within one daemon, for running the HTTP path alone.
 *
 * <p>Invariant: a key is granted once, and again only after a run that was reported as not run.
 * Claims are kept for the life of the object. Safe for use by any thread.
 */
public final class LocalClaims implements Claims {
  private final Map<Key, Handle> handles = new ConcurrentHashMap<>();

  @Override
  public Mono<ClaimDecision> claim(OrganisationId organisation, RequestKey key) {
    return Mono.fromSupplier(() -> decide(new Key(organisation, key)));
  }

  private ClaimDecision decide(Key key) {
    Handle fresh = new Handle(() -> handles.remove(key));
    Handle first = handles.putIfAbsent(key, fresh);
    return first == null ? new ClaimDecision.Granted(fresh) : first.truth();
  }

  private record Key(OrganisationId organisation, RequestKey request) {}

  private static final class Handle implements ClaimHandle {
    private static final ClaimDecision RUNNING = new ClaimDecision.FirstRunning();

    private final AtomicReference<ClaimDecision> truth = new AtomicReference<>(RUNNING);
    private final Runnable forget;

    Handle(Runnable forget) {
      this.forget = forget;
    }

    ClaimDecision truth() {
      return truth.get();
    }

    @Override
    public void completed(int status, String contentType, byte[] body) {
      truth.compareAndSet(RUNNING, new ClaimDecision.FirstAnswer(status, contentType, body));
    }

    @Override
    public void notRun() {
      if (truth.compareAndSet(RUNNING, new ClaimDecision.NotRun("the first try has not run"))) {
        forget.run();
      }
    }

    @Override
    public void mayHaveRun() {
      truth.compareAndSet(RUNNING, new ClaimDecision.MayHaveRun());
    }
  }
}
