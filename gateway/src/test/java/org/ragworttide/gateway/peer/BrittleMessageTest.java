package org.ragworttide.gateway.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Arrays;
import java.util.List;
import org.testng.annotations.Test;

/** Tests the messages about requests to brittle upstreams. */
public class BrittleMessageTest {
  private static final List<BrittleMessage> MESSAGES =
      List.of(
          new BrittleMessage.Question(1, -2, 30_000),
          new BrittleMessage.Granted(Long.MAX_VALUE, 3),
          new BrittleMessage.Refused(-4, 5),
          new BrittleMessage.Running(6, 7, 0),
          new BrittleMessage.Ended(8, 9, true),
          new BrittleMessage.Ended(10, 11, false));

  @Test
  public void decodedMessageEqualsTheEncodedOne() {
    for (BrittleMessage message : MESSAGES) {
      assertEquals(BrittleMessage.decode(message.encode()).orElseThrow(), message);
    }
  }

  /** Guards against messages of one kind that are taken for another. */
  @Test
  public void otherMessagesAreNotDecoded() {
    for (BrittleMessage message : MESSAGES) {
      byte[] bytes = message.encode();
      assertTrue(BrittleMessage.decode(Arrays.copyOf(bytes, bytes.length - 1)).isEmpty());
      assertTrue(PermitMessage.decode(bytes).isEmpty());
      assertTrue(StreamMessage.decode(bytes).isEmpty());
      assertTrue(HandoverMessage.decode(bytes).isEmpty());
      assertTrue(PeerStatement.decode(bytes).isEmpty());
    }
  }
}
