package org.ragworttide.gateway.model;

import java.util.Objects;

/**
 * Name of a service that upstreams provide.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param value the name
 */
public record ServiceName(String value) {

  /** Checks that the name is present. */
  public ServiceName {
    Objects.requireNonNull(value, "value");
  }

  @Override
  public String toString() {
    return value;
  }
}
