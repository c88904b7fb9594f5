package org.ragworttide.gateway.relay;

import java.util.ArrayList;
import java.util.List;
import org.ragworttide.coordination.hash.Rendezvous;
import org.ragworttide.coordination.placement.Prompt;
import org.ragworttide.coordination.quarantine.Suspect;
import org.ragworttide.gateway.model.ServiceName;

/**
 * What a request contains that may crash the upstreams of its service.
 *
 * <p>The content is hashed only when it is needed. Confined to the event loop.
 */
final class RequestSuspects {
  private final CallerRequest request;
  private final long serviceHash;
  private final String organisation;
  private final List<Suspect> parts = new ArrayList<>();
  private List<Suspect> all = List.of();

  /**
   * Creates the suspects of a request.
   *
   * @param request the request
   * @param service the service that it is for: what crashes upstreams of one service may be sound
   *     for another
   * @param organisation the caller's organisation, empty if the route requires no key
   */
  RequestSuspects(CallerRequest request, ServiceName service, String organisation) {
    this.request = request;
    this.serviceHash = Rendezvous.hash(service.value());
    this.organisation = organisation;
    request.metadata().prompt().map(Prompt::partsBeforeLast).orElse(List.of()).stream()
        .map(part -> Suspect.ofPromptPart(Rendezvous.weight(serviceHash, part.idHash())))
        .forEach(parts::add);
  }

  /** Returns the shared parts of the request's prompt. */
  List<Suspect> parts() {
    return parts;
  }

  /** Returns the shared parts of the request's prompt and its content. */
  List<Suspect> all() {
    if (all.isEmpty()) {
      List<Suspect> suspects = new ArrayList<>(parts);
      suspects.add(
          Suspect.ofContent(Rendezvous.weight(serviceHash, request.fingerprint(organisation))));
      all = List.copyOf(suspects);
    }
    return all;
  }
}
