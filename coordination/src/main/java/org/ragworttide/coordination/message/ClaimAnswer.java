package org.ragworttide.coordination.message;

import java.util.Arrays;

/**
 * Answer that a claimed request received from its upstream, as encoded by the embedder.
 *
 * <p>Invariant: the content is at most {@link #MAX_BYTES} long. Immutable, safe for use by any
 * thread.
 */
public final class ClaimAnswer {
  /** Maximum length of an answer that is held for a repeated arrival of the request. */
  public static final int MAX_BYTES = 32 * 1024;

  private final byte[] content;

  /** Copies the content. */
  public ClaimAnswer(byte[] content) {
    if (content.length > MAX_BYTES) {
      throw new IllegalArgumentException("answer exceeds " + MAX_BYTES + " bytes");
    }
    this.content = content.clone();
  }

  /** Returns a copy of the content. */
  public byte[] content() {
    return content.clone();
  }

  /** Returns the length of the content in bytes. */
  public int length() {
    return content.length;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof ClaimAnswer answer && Arrays.equals(content, answer.content);
  }

  @Override
  public int hashCode() {
    return Arrays.hashCode(content);
  }
}
