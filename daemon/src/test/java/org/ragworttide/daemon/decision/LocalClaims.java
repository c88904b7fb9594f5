package org.ragworttide.daemon.decision;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import org.ragworttide.coordination.id.OrganisationId;
import org.ragworttide.coordination.id.RequestKey;
import reactor.core.publisher.Mono;

/**
 * Grants claims within one daemon, for tests of the HTTP path without coordination.
 *
 * <p>Invariant: a key is granted again only after its run was reported as not run. Claims are kept
 * as long as the object exists. Safe for use by any thread.
 */
public final class LocalClaims implements Claims {
  private final Map<Key, Handle> handles = new ConcurrentHashMap<>();

  @Override
  public Mono<ClaimDecision> claim(OrganisationId organisation, RequestKey key) {
    return Mono.fromSupplier(() -> decide(new Key(organisation, key)));
  }

  private ClaimDecision decide(Key key) {
    Handle created = new Handle(() -> handles.remove(key));
    Handle existing = handles.putIfAbsent(key, created);
    return existing == null ? new ClaimDecision.Granted(created) : existing.decision();
  }

  private record Key(OrganisationId organisation, RequestKey request) {}

  private static final class Handle implements ClaimHandle {
    private static final ClaimDecision RUNNING = new ClaimDecision.FirstRunning();

    private final AtomicReference<ClaimDecision> decision = new AtomicReference<>(RUNNING);
    private final Runnable removeHandle;

    Handle(Runnable removeHandle) {
      this.removeHandle = removeHandle;
    }

    ClaimDecision decision() {
      return decision.get();
    }

    @Override
    public void reportCompleted(int status, String contentType, byte[] body) {
      decision.compareAndSet(RUNNING, new ClaimDecision.FirstAnswer(status, contentType, body));
    }

    @Override
    public void reportNotRun() {
      if (decision.compareAndSet(RUNNING, new ClaimDecision.NotRun("the first try has not run"))) {
        removeHandle.run();
      }
    }

    @Override
    public void reportMayHaveRun() {
      decision.compareAndSet(RUNNING, new ClaimDecision.MayHaveRun());
    }
  }
}
