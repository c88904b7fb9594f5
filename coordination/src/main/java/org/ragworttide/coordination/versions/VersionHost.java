package org.ragworttide.coordination.versions;

/**
 * What the spread of versions needs from its embedder.
 *
 * <p>Called on the coordination thread only.
 */
public interface VersionHost {

  /** Returns whether the document is valid and says that it is of the version. */
  boolean accepts(long version, byte[] document);

  /** Puts a document in force; called once for each accepted version. */
  void inForce(long version, byte[] document);

  /** Reads the whole document from the platform once and offers it. */
  void readPlatform();
}
