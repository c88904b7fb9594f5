package org.ragworttide.gateway.model;

import java.util.List;
import java.util.OptionalInt;

/**
 * An organisation and the keys of its callers.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param name the organisation's name
 * @param keys the keys of its callers
 * @param priority its priority, which overrides a route's; 0 is the most urgent
 */
public record Organisation(String name, List<String> keys, OptionalInt priority) {

  /** Copies the keys. */
  public Organisation {
    keys = List.copyOf(keys);
  }

  @Override
  public String toString() {
    return name;
  }
}
