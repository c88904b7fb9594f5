package org.ragworttide.gateway.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Optional;
import org.ragworttide.coordination.placement.StatedAvailability;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the datagrams about pauses that a VM has carried. */
public class PauseMessageTest {
  private static final int MAX_MILLIS = (int) StatedAvailability.MAX_PAUSE_MILLIS;
  private static final PauseMessage MESSAGE = new PauseMessage(-7, 3_000);

  /** Numbers of milliseconds that no pause has. */
  @DataProvider
  public Object[][] noPauses() {
    return new Object[][] {{0}, {-1}, {Integer.MIN_VALUE}, {MAX_MILLIS + 1}, {Integer.MAX_VALUE}};
  }

  @Test
  public void encodedMessageIsDecoded() {
    assertEquals(PauseMessage.decode(MESSAGE.encode()), Optional.of(MESSAGE));
  }

  /** Guards against a message that is taken for one of another kind. */
  @Test
  public void otherKindsOfMessagesAreToldApart() {
    byte[] bytes = MESSAGE.encode();
    assertTrue(StreamMessage.decode(bytes).isEmpty());
    assertTrue(HandoverMessage.decode(bytes).isEmpty());
    assertTrue(PermitMessage.decode(bytes).isEmpty());
    assertTrue(PauseMessage.decode(new HandoverMessage.Request(5).encode()).isEmpty());
    assertTrue(PauseMessage.decode(new PermitMessage.Question(1, 2).encode()).isEmpty());
  }

  @Test
  public void truncatedOrLongerMessageIsNone() {
    byte[] bytes = MESSAGE.encode();
    for (int length = 0; length < bytes.length; length++) {
      assertTrue(PauseMessage.decode(Arrays.copyOf(bytes, length)).isEmpty());
    }
    assertTrue(PauseMessage.decode(Arrays.copyOf(bytes, bytes.length + 1)).isEmpty());
  }

  /** Guards against a message that takes an upstream out of service. */
  @Test(dataProvider = "noPauses")
  public void messageWithoutPossiblePauseIsNone(int millis) {
    byte[] bytes = MESSAGE.encode();
    ByteBuffer.wrap(bytes).putInt(bytes.length - Integer.BYTES, millis);
    assertTrue(PauseMessage.decode(bytes).isEmpty());
    assertThrows(IllegalArgumentException.class, () -> new PauseMessage(1, millis));
  }
}
