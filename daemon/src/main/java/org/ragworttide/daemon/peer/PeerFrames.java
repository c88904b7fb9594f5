package org.ragworttide.daemon.peer;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import java.util.Optional;
import org.ragworttide.protocol.wire.Hello;
import org.ragworttide.protocol.wire.PeerFrame;
import reactor.netty.Connection;

/** Frames protobuf messages on a connection with a length prefix of four bytes; stateless. */
final class PeerFrames {
  static final int MAX_FRAME_BYTES = 1_200_000;
  static final int PROTOCOL_VERSION = 1;
  private static final int LENGTH_BYTES = 4;

  private PeerFrames() {}

  static void install(Connection connection) {
    connection.addHandlerLast(
        new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
    connection.addHandlerLast(new LengthFieldPrepender(LENGTH_BYTES));
  }

  static ByteBuf write(ByteBufAllocator allocator, PeerFrame frame) {
    ByteBuf buffer = allocator.buffer(frame.getSerializedSize());
    return buffer.writeBytes(frame.toByteArray());
  }

  static int sizeBytes(PeerFrame frame) {
    return LENGTH_BYTES + frame.getSerializedSize();
  }

  static Optional<PeerFrame> read(ByteBuf buffer) {
    try {
      return Optional.of(PeerFrame.parseFrom(buffer.nioBuffer()));
    } catch (InvalidProtocolBufferException e) {
      return Optional.empty();
    }
  }

  static PeerFrame hello(PeerIdentity self) {
    Hello hello =
        Hello.newBuilder()
            .setFleet(self.fleet())
            .setVm(self.vm().value())
            .setIncarnation(self.incarnation().value())
            .setProtocolVersion(PROTOCOL_VERSION)
            .build();
    return PeerFrame.newBuilder().setHello(hello).build();
  }
}
