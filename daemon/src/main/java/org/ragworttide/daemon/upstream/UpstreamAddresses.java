package org.ragworttide.daemon.upstream;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.document.ConfigurationDocument;
import org.ragworttide.document.ConfigurationDocument.Upstream;

/**
 * Reads the addresses of upstreams from the configuration; stateless, safe for use by any thread.
 */
public final class UpstreamAddresses {

  private UpstreamAddresses() {}

  /** Returns the address of each upstream of a valid document. */
  public static Map<UpstreamId, InetSocketAddress> of(ConfigurationDocument document) {
    Map<UpstreamId, InetSocketAddress> addresses = new HashMap<>();
    for (Upstream upstream : document.upstreams()) {
      addresses.put(new UpstreamId(upstream.id()), address(upstream.address()));
    }
    return addresses;
  }

  private static InetSocketAddress address(String text) {
    int colon = text.lastIndexOf(':');
    return new InetSocketAddress(
        text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }
}
