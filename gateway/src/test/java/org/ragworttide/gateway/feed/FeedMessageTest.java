package org.ragworttide.gateway.feed;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import org.ragworttide.coordination.feed.Change;
import org.ragworttide.coordination.feed.ChangeBatch;
import org.ragworttide.coordination.feed.FeedStatus;
import org.testng.annotations.Test;

/** Tests the messages between VMs that pass changes on, and that malformed ones are refused. */
public class FeedMessageTest {
  private static final FeedStatus STATUS = new FeedStatus(true, 120, List.of(1L, 1L << 47));

  @Test
  public void decodedMessageEqualsTheEncodedOne() {
    byte[] large = "configuration ".repeat(1_000).getBytes(StandardCharsets.UTF_8);
    List<Change> changes =
        List.of(
            Change.put("small", 3, new byte[] {1, 2}),
            Change.put("large", 4, large),
            Change.put("empty", 5, new byte[0]),
            Change.deletion("gone", 6, 700));
    FeedMessage decoded =
        FeedMessage.decode(new FeedMessage(ChangeBatch.changes(2, 6, changes), STATUS).encode())
            .orElseThrow();
    assertEquals(decoded.status(), STATUS);
    assertEquals(decoded.batch().afterRevision(), 2);
    assertEquals(decoded.batch().revision(), 6);
    for (int i = 0; i < changes.size(); i++) {
      Change expected = changes.get(i);
      Change change = decoded.batch().changes().get(i);
      assertEquals(change.key(), expected.key());
      assertEquals(change.revision(), expected.revision());
      assertEquals(change.graceMillis(), expected.graceMillis());
      assertTrue(
          Arrays.equals(change.value().orElse(null), expected.value().orElse(null)), change.key());
    }
  }

  @Test
  public void repetitiveValueIsSentCompressed() {
    byte[] large = "configuration ".repeat(1_000).getBytes(StandardCharsets.UTF_8);
    ChangeBatch batch = ChangeBatch.changes(1, 2, List.of(Change.put("large", 2, large)));
    assertTrue(new FeedMessage(batch, STATUS).encode().length < large.length / 10);
  }

  @Test
  public void malformedMessagesAreRefused() throws IOException {
    byte[] valid =
        new FeedMessage(
                ChangeBatch.changes(1, 2, List.of(Change.put("key", 2, new byte[900]))), STATUS)
            .encode();
    assertTrue(FeedMessage.decode(Arrays.copyOf(valid, valid.length - 1)).isEmpty());
    assertTrue(FeedMessage.decode("GET / HTTP/1.1\r\n\r\n".getBytes()).isEmpty());
    ByteArrayOutputStream twice = new ByteArrayOutputStream();
    twice.write(valid);
    twice.write(0xff);
    assertTrue(FeedMessage.decode(twice.toByteArray()).isEmpty());
  }

  @Test
  public void addressIsTheSameAfterConversionToNumberAndBack() {
    InetSocketAddress address = new InetSocketAddress("10.1.200.255", 65_535);
    assertEquals(FeedAddress.address(FeedAddress.number(address)), address);
  }
}
