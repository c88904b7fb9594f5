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
import org.ragworttide.coordination.feed.ItemRules;
import org.ragworttide.coordination.feed.RetainedChange;
import org.ragworttide.coordination.feed.StorePosition;
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
        FeedMessage.decode(
                new FeedMessage(
                        ChangeBatch.changes(new StorePosition(3, 2), 6, changes), List.of(), STATUS)
                    .encode())
            .orElseThrow();
    assertEquals(decoded.status(), STATUS);
    assertEquals(decoded.batch().era(), 3);
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
  public void decodedRetainedChangesEqualTheEncodedOnes() {
    List<RetainedChange> retained =
        List.of(
            new RetainedChange(1, Change.put("kept", 9, new byte[2_000]), ItemRules.FOREVER_MILLIS),
            new RetainedChange(2, Change.deletion("gone", 8, 0), 1_700));
    ChangeBatch batch = ChangeBatch.changes(new StorePosition(3, 2), 2, List.of());
    List<RetainedChange> decoded =
        FeedMessage.decode(new FeedMessage(batch, retained, STATUS).encode())
            .orElseThrow()
            .retained();
    assertEquals(decoded.size(), 2);
    assertEquals(decoded.getFirst().era(), 1);
    assertEquals(decoded.getFirst().remainingMillis(), ItemRules.FOREVER_MILLIS);
    assertEquals(decoded.getFirst().change().value().orElseThrow().length, 2_000);
    assertEquals(decoded.getLast(), retained.getLast());
  }

  @Test
  public void repetitiveValueIsSentCompressed() {
    byte[] large = "configuration ".repeat(1_000).getBytes(StandardCharsets.UTF_8);
    ChangeBatch batch =
        ChangeBatch.changes(new StorePosition(3, 1), 2, List.of(Change.put("large", 2, large)));
    assertTrue(new FeedMessage(batch, List.of(), STATUS).encode().length < large.length / 10);
  }

  @Test
  public void malformedMessagesAreRefused() throws IOException {
    byte[] valid =
        new FeedMessage(
                ChangeBatch.changes(
                    new StorePosition(3, 1), 2, List.of(Change.put("key", 2, new byte[900]))),
                List.of(),
                STATUS)
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
