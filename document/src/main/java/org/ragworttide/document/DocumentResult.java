package org.ragworttide.document;

import java.util.List;

/**
 * Result of reading a configuration document.
 *
 * <p>Invariant: a refused document has at least one fault. Immutable, safe for use by any thread.
 */
public sealed interface DocumentResult {

  /**
   * The document is valid.
   *
   * @param document the document
   */
  record Accepted(ConfigurationDocument document) implements DocumentResult {}

  /**
   * The document must not be used.
   *
   * @param faults every fault found: those of the schema, ordered by place, before those of
   *     cross-checks
   */
  record Refused(List<Fault> faults) implements DocumentResult {

    /** Copies the faults. */
    public Refused {
      if (faults.isEmpty()) {
        throw new IllegalArgumentException("a refused document must have at least one fault");
      }
      faults = List.copyOf(faults);
    }
  }
}
