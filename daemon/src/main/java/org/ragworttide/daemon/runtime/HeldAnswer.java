package org.ragworttide.daemon.runtime;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.ragworttide.coordination.message.ClaimAnswer;
import org.ragworttide.daemon.decision.ClaimDecision;

/**
 * Packs an upstream's answer for the claims, which hold it as bytes.
 *
 * <p>Layout: status (2 bytes), length of the content type (2 bytes), content type in UTF-8, body.
 * Stateless, safe for use by any thread.
 */
final class HeldAnswer {
  private static final int HEADER_BYTES = 2 * Short.BYTES;

  private HeldAnswer() {}

  /** Returns the packed answer, unless it is too long to be held. */
  static Optional<ClaimAnswer> encode(int status, String contentType, byte[] body) {
    byte[] type = contentType.getBytes(StandardCharsets.UTF_8);
    int length = HEADER_BYTES + type.length + body.length;
    if (length > ClaimAnswer.MAX_BYTES) {
      return Optional.empty();
    }
    ByteBuffer packed = ByteBuffer.allocate(length);
    packed.putShort((short) status).putShort((short) type.length).put(type).put(body);
    return Optional.of(new ClaimAnswer(packed.array()));
  }

  /** Returns the answer that was packed, or that it is not known if a peer sent something else. */
  static ClaimDecision decode(ClaimAnswer answer) {
    ByteBuffer packed = ByteBuffer.wrap(answer.content());
    if (packed.remaining() < HEADER_BYTES) {
      return new ClaimDecision.MayHaveRun();
    }
    final int status = packed.getShort();
    int typeLength = Short.toUnsignedInt(packed.getShort());
    if (typeLength > packed.remaining()) {
      return new ClaimDecision.MayHaveRun();
    }
    byte[] type = new byte[typeLength];
    packed.get(type);
    byte[] body = new byte[packed.remaining()];
    packed.get(body);
    return new ClaimDecision.FirstAnswer(status, new String(type, StandardCharsets.UTF_8), body);
  }
}
