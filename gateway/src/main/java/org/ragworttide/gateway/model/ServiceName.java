package org.ragworttide.gateway.model;

import java.util.Objects;

/**
 * Names a service, which upstreams provide.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param value the name
 */
public record ServiceName(String value) {

  /** Checks that there is a name. */
  public ServiceName {
    Objects.requireNonNull(value, "value");
  }

  @Override
  public String toString() {
    return value;
  }
}
