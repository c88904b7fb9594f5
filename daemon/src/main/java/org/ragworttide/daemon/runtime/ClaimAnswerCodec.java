package org.ragworttide.daemon.runtime;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.ragworttide.coordination.message.ClaimAnswer;
import org.ragworttide.daemon.decision.ClaimDecision;

/**
 * Encodes the answer of an upstream as bytes, the form in which claims retain it.
 *
 * <p>Layout: status (2 bytes), length of the content type (2 bytes), content type in UTF-8, body.
 * Stateless, safe for use by any thread.
 */
final class ClaimAnswerCodec {
  private static final int HEADER_BYTES = 2 * Short.BYTES;

  private ClaimAnswerCodec() {}

  /** Returns the encoded answer, empty if it exceeds the size limit of retained answers. */
  static Optional<ClaimAnswer> encode(int status, String contentType, byte[] body) {
    byte[] type = contentType.getBytes(StandardCharsets.UTF_8);
    int length = HEADER_BYTES + type.length + body.length;
    if (length > ClaimAnswer.MAX_BYTES) {
      return Optional.empty();
    }
    ByteBuffer encoded = ByteBuffer.allocate(length);
    encoded.putShort((short) status).putShort((short) type.length).put(type).put(body);
    return Optional.of(new ClaimAnswer(encoded.array()));
  }

  /** Returns the decoded answer, or {@code MayHaveRun} if a peer sent a malformed one. */
  static ClaimDecision decode(ClaimAnswer answer) {
    ByteBuffer encoded = ByteBuffer.wrap(answer.content());
    if (encoded.remaining() < HEADER_BYTES) {
      return new ClaimDecision.MayHaveRun();
    }
    final int status = encoded.getShort();
    int typeLength = Short.toUnsignedInt(encoded.getShort());
    if (typeLength > encoded.remaining()) {
      return new ClaimDecision.MayHaveRun();
    }
    byte[] type = new byte[typeLength];
    encoded.get(type);
    byte[] body = new byte[encoded.remaining()];
    encoded.get(body);
    return new ClaimDecision.FirstAnswer(status, new String(type, StandardCharsets.UTF_8), body);
  }
}
