package org.ragworttide.gateway.relay;

import java.util.Optional;
import java.util.function.BiConsumer;
import org.ragworttide.coordination.streams.SoftwareVersion;
import org.ragworttide.coordination.streams.SoleVersion;
import org.ragworttide.coordination.streams.StreamId;
import org.ragworttide.gateway.model.Route;
import org.ragworttide.gateway.model.ServiceName;

/**
 * Finds the software version that began a caller's stream, at which alone it may go on: the one
 * that VMs remember, or else the only one that can have begun it. Confined to the event loop.
 */
final class StreamPin {
  private final RelayContext context;
  private final Route route;
  private final ServiceName service;

  /** Creates the search for a stream of the route at the service. */
  StreamPin(RelayContext context, Route route, ServiceName service) {
    this.context = context;
    this.route = route;
    this.service = service;
  }

  /**
   * Finds the version.
   *
   * @param continuation the stream, as its caller names it
   * @param found receives the version, empty if it is unknown, and the cause for that
   */
  void find(
      RequestMetadata.Continuation continuation,
      BiConsumer<Optional<SoftwareVersion>, String> found) {
    if (continuation.firstRequestId().isEmpty()) {
      findSole("the caller does not name its stream", found);
      return;
    }
    String first = continuation.firstRequestId().get();
    context
        .streams()
        .find(
            StreamId.of(first),
            known -> {
              if (known.isPresent()) {
                found.accept(known, "");
              } else {
                findSole("no VM remembers the stream of request " + first, found);
              }
            });
  }

  private void findSole(String cause, BiConsumer<Optional<SoftwareVersion>, String> found) {
    context
        .soleVersions()
        .find(
            service,
            streamMillis(),
            sole -> {
              context.telemetry().recordUnknownStream(sole);
              switch (sole) {
                case SoleVersion.Known known -> found.accept(Optional.of(known.version()), "");
                case SoleVersion.Several several ->
                    found.accept(Optional.empty(), cause + ", several versions can have begun it");
                case SoleVersion.Unobserved unobserved ->
                    found.accept(
                        Optional.empty(), cause + ", the versions of its time are not known");
                case SoleVersion.Unconfirmed unconfirmed ->
                    found.accept(
                        Optional.empty(), cause + ", the store does not confirm the only version");
              }
            });
  }

  /**
   * Returns the longest time between the first event of a stream and its continuation: the first
   * request and the one that continues it last at most the route's time each.
   */
  private long streamMillis() {
    return route.timeoutMillis() == 0 ? Long.MAX_VALUE : 2 * route.timeoutMillis();
  }
}
