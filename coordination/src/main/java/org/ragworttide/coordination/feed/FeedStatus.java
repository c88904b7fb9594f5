package org.ragworttide.coordination.feed;

import java.util.List;

/**
 * How current the changes are that a VM passes on.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param available whether the store answers the VM that reads it
 * @param ageMillis milliseconds since the store's last answer to the VM that reads it
 * @param path addresses of the VMs that the changes passed, the reader first
 */
public record FeedStatus(boolean available, long ageMillis, List<Long> path) {

  /** Checks the age and copies the path. */
  public FeedStatus {
    if (ageMillis < 0) {
      throw new IllegalArgumentException("ageMillis must not be negative");
    }
    path = List.copyOf(path);
  }
}
