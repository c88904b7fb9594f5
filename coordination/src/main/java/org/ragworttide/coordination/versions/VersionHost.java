package org.ragworttide.coordination.versions;

/**
 * Callbacks that the embedder provides for the propagation of versions.
 *
 * <p>Called on the coordination thread only.
 */
public interface VersionHost {

  /** Returns whether the document is valid and states the given version. */
  boolean accepts(long version, byte[] document);

  /** Puts a document into force; called once for each accepted version. */
  void putInForce(long version, byte[] document);

  /** Reads the whole document from the platform once and offers it. */
  void readPlatform();
}
