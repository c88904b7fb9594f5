package org.ragworttide.protocol;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import org.ragworttide.coordination.message.VersionMessage;
import org.ragworttide.coordination.versions.DocumentDelta;
import org.ragworttide.coordination.versions.DocumentDelta.Piece;
import org.ragworttide.coordination.versions.DocumentDigest;
import org.ragworttide.protocol.wire.CoverRequest;
import org.ragworttide.protocol.wire.DeltaPiece;
import org.ragworttide.protocol.wire.VersionAnnounce;
import org.ragworttide.protocol.wire.VersionEnvelope;
import org.ragworttide.protocol.wire.VersionQuery;

/**
 * Converts messages that distribute versions of the configuration document to and from their
 * Protocol Buffers form.
 *
 * <p>Invariant: decodes an envelope only if all its numbers are valid. Stateless, safe for use by
 * any thread.
 */
public final class VersionCodec {
  private static final int MAX_DELTAS = 16;
  private static final int MAX_PIECES = 1_024;
  private static final int MAX_DOCUMENT_BYTES = 1 << 20;

  private VersionCodec() {}

  /** Encodes a message as an envelope. */
  public static VersionEnvelope encode(VersionMessage message) {
    VersionEnvelope.Builder envelope = VersionEnvelope.newBuilder();
    switch (message) {
      case VersionMessage.Query query ->
          envelope.setQuery(VersionQuery.newBuilder().setKnownVersion(query.knownVersion()));
      case VersionMessage.Announce announce -> envelope.setAnnounce(toWire(announce));
      case VersionMessage.ChunkRequest request ->
          envelope.setChunkRequest(
              org.ragworttide.protocol.wire.ChunkRequest.newBuilder()
                  .setVersion(request.version())
                  .setOffset(request.offset()));
      case VersionMessage.Chunk chunk ->
          envelope.setChunk(
              org.ragworttide.protocol.wire.Chunk.newBuilder()
                  .setVersion(chunk.version())
                  .setOffset(chunk.offset())
                  .setContent(ByteString.copyFrom(chunk.content())));
      case VersionMessage.Cover cover ->
          envelope.setCoverRequest(CoverRequest.getDefaultInstance());
    }
    return envelope.build();
  }

  /** Decodes an envelope; empty if a field is missing or out of range. */
  public static Optional<VersionMessage> decode(VersionEnvelope envelope) {
    return switch (envelope.getMessageCase()) {
      case QUERY ->
          Optional.of(envelope.getQuery().getKnownVersion())
              .filter(version -> version >= 0)
              .map(VersionMessage.Query::new);
      case ANNOUNCE -> fromWire(envelope.getAnnounce());
      case CHUNK_REQUEST -> fromWire(envelope.getChunkRequest());
      case CHUNK -> fromWire(envelope.getChunk());
      case COVER_REQUEST -> Optional.of(new VersionMessage.Cover());
      case MESSAGE_NOT_SET -> Optional.empty();
    };
  }

  private static VersionAnnounce toWire(VersionMessage.Announce announce) {
    return VersionAnnounce.newBuilder()
        .setVersion(announce.version())
        .setDigest(ByteString.copyFrom(announce.digest().toBytes()))
        .setLengthBytes(announce.lengthBytes())
        .addAllDeltas(announce.deltas().stream().map(VersionCodec::toWire).toList())
        .build();
  }

  private static org.ragworttide.protocol.wire.DocumentDelta toWire(DocumentDelta delta) {
    return org.ragworttide.protocol.wire.DocumentDelta.newBuilder()
        .setBaseVersion(delta.baseVersion())
        .setVersion(delta.version())
        .setDigest(ByteString.copyFrom(delta.digest().toBytes()))
        .setLengthBytes(delta.lengthBytes())
        .addAllPieces(delta.pieces().stream().map(VersionCodec::toWire).toList())
        .build();
  }

  private static DeltaPiece toWire(Piece piece) {
    return switch (piece) {
      case Piece.Copy copy ->
          DeltaPiece.newBuilder().setCopyOffset(copy.offset()).setCopyLength(copy.length()).build();
      case Piece.Literal literal ->
          DeltaPiece.newBuilder().setLiteral(ByteString.copyFrom(literal.bytes())).build();
    };
  }

  private static Optional<VersionMessage> fromWire(VersionAnnounce wire) {
    if (wire.getVersion() < 0
        || !isLength(wire.getLengthBytes())
        || wire.getDigest().size() != DocumentDigest.LENGTH_BYTES) {
      return Optional.empty();
    }
    DocumentDigest digest = DocumentDigest.fromBytes(wire.getDigest().toByteArray());
    return WireChecks.decodeAll(wire.getDeltasList(), MAX_DELTAS, VersionCodec::fromWire)
        .map(
            deltas ->
                new VersionMessage.Announce(
                    wire.getVersion(), digest, wire.getLengthBytes(), deltas));
  }

  private static Optional<DocumentDelta> fromWire(
      org.ragworttide.protocol.wire.DocumentDelta wire) {
    if (wire.getBaseVersion() <= 0
        || wire.getVersion() <= wire.getBaseVersion()
        || !isLength(wire.getLengthBytes())
        || wire.getPiecesCount() > MAX_PIECES
        || wire.getDigest().size() != DocumentDigest.LENGTH_BYTES) {
      return Optional.empty();
    }
    List<Piece> pieces = wire.getPiecesList().stream().map(VersionCodec::fromWire).toList();
    return Optional.of(
        new DocumentDelta(
            wire.getBaseVersion(),
            wire.getVersion(),
            DocumentDigest.fromBytes(wire.getDigest().toByteArray()),
            wire.getLengthBytes(),
            pieces));
  }

  private static Piece fromWire(DeltaPiece wire) {
    return wire.getLiteral().isEmpty()
        ? new Piece.Copy(wire.getCopyOffset(), wire.getCopyLength())
        : new Piece.Literal(wire.getLiteral().toByteArray());
  }

  private static Optional<VersionMessage> fromWire(
      org.ragworttide.protocol.wire.ChunkRequest wire) {
    return wire.getVersion() > 0 && isLength(wire.getOffset())
        ? Optional.of(new VersionMessage.ChunkRequest(wire.getVersion(), wire.getOffset()))
        : Optional.empty();
  }

  private static Optional<VersionMessage> fromWire(org.ragworttide.protocol.wire.Chunk wire) {
    return wire.getVersion() > 0 && isLength(wire.getOffset()) && !wire.getContent().isEmpty()
        ? Optional.of(
            new VersionMessage.Chunk(
                wire.getVersion(), wire.getOffset(), wire.getContent().toByteArray()))
        : Optional.empty();
  }

  private static boolean isLength(int value) {
    return value >= 0 && value <= MAX_DOCUMENT_BYTES;
  }
}
