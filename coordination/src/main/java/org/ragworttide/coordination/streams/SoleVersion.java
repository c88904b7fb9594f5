package org.ragworttide.coordination.streams;

/**
 * Answer to the question which version has begun every stream of a service that may still be
 * continued. Immutable, safe for use by any thread.
 */
public sealed interface SoleVersion {

  /** Only this version can have begun such a stream. */
  record Known(SoftwareVersion version) implements SoleVersion {}

  /** More than one version can have begun such a stream, or none that is present. */
  record Several() implements SoleVersion {}

  /**
   * All known upstreams have one version, but those of another may have gone before the VM began to
   * observe the service.
   */
  record Unobserved() implements SoleVersion {}

  /**
   * The VM could not find out whether upstreams of another version have come or gone unnoticed,
   * because the store has not answered.
   */
  record Unconfirmed() implements SoleVersion {}
}
