package org.ragworttide.gateway.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.ragworttide.coordination.streams.EventId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that streams are split into complete events only. */
public class EventSplitterTest {
  private EventSplitter splitter;

  /** Creates a splitter that has received nothing. */
  @BeforeMethod
  public void createSplitter() {
    splitter = new EventSplitter(UnpooledByteBufAllocator.DEFAULT);
  }

  private String add(String chunk) {
    splitter.add(Unpooled.copiedBuffer(chunk, StandardCharsets.UTF_8));
    ByteBuf events = splitter.takeEvents();
    String text = events.toString(StandardCharsets.UTF_8);
    events.release();
    return text;
  }

  @Test
  public void onlyCompleteEventsAreReturned() {
    assertEquals(add("id: 1\ndata: a\n\nid: 2\nda"), "id: 1\ndata: a\n\n");
    assertEquals(splitter.lastId(), Optional.of(new EventId("1")));
    assertEquals(add("ta: b\n"), "");
    assertEquals(add("\n"), "id: 2\ndata: b\n\n");
    assertEquals(splitter.lastId(), Optional.of(new EventId("2")));
    assertFalse(splitter.hasPartialEvent());
  }

  @Test
  public void carriageReturnIsPartOfTheLineEnd() {
    assertEquals(add("id: 7\r\ndata: a\r\n\r\n"), "id: 7\r\ndata: a\r\n\r\n");
    assertEquals(splitter.lastId(), Optional.of(new EventId("7")));
  }

  @Test
  public void incompleteEventIsDiscardedBeforeTheNextAttempt() {
    assertEquals(add("id: 1\ndata: a\n\nid: 2\ndata: half"), "id: 1\ndata: a\n\n");
    assertTrue(splitter.hasPartialEvent());
    splitter.discardPartialEvent();
    assertEquals(add("id: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
  }

  /** Guards against events that come again where another upstream continues the stream. */
  @Test
  public void continuationEndsBeforeAnEventThatDoesNotFollow() {
    assertEquals(
        add("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    splitter.discardPartialEvent();
    assertEquals(add("id: 2\ndata: b\n\n"), "");
    assertTrue(splitter.isOutOfOrder());
    assertEquals(splitter.lastId(), Optional.of(new EventId("2")));
    splitter.discardPartialEvent();
    assertEquals(add("id: 4\ndata: d\n\n"), "id: 4\ndata: d\n\n");
    assertFalse(splitter.isOutOfOrder());
    assertEquals(add("id: 3\ndata: c\n\n"), "");
    assertTrue(splitter.isOutOfOrder());
  }

  /** Guards against a continuation that sends what its caller had before. */
  @Test
  public void continuationFollowsWhatTheCallerReceivedEarlier() {
    splitter.continueAfter(new EventId("5"));
    splitter.discardPartialEvent();
    assertEquals(add("id: 5\ndata: e\n\n"), "");
    assertTrue(splitter.isOutOfOrder());
    splitter.discardPartialEvent();
    assertEquals(add("id: 6\ndata: f\n\n"), "id: 6\ndata: f\n\n");
  }

  /** The order within one answer is that of its upstream, whose ids need not be numbers. */
  @Test
  public void answerOfOneUpstreamIsReturnedAsItIs() {
    assertEquals(add("id: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
    assertEquals(add("id: 1\ndata: a\n\n"), "id: 1\ndata: a\n\n");
    assertFalse(splitter.isOutOfOrder());
  }

  @Test
  public void singleByteChunksGiveTheSameEvents() {
    StringBuilder all = new StringBuilder();
    for (char letter : "id: 1\ndata: a\n\nid: 2\ndata: b\n\n".toCharArray()) {
      all.append(add(String.valueOf(letter)));
    }
    assertEquals(all.toString(), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    assertEquals(splitter.lastId(), Optional.of(new EventId("2")));
  }

  /** Guards against a stream that keeps all events that it has passed on until its end. */
  @Test
  public void eventsThatWerePassedOnAreNotKept() {
    UnpooledByteBufAllocator allocator = new UnpooledByteBufAllocator(false);
    EventSplitter stream = new EventSplitter(allocator);
    String event = "id: 1\ndata: " + "a".repeat(10_000) + "\n\n";
    for (int i = 0; i < 1_000; i++) {
      stream.add(Unpooled.copiedBuffer(event, StandardCharsets.UTF_8));
      ByteBuf events = stream.takeEvents();
      assertEquals(events.readableBytes(), event.length());
      events.release();
    }
    long keptBytes = allocator.metric().usedHeapMemory();
    assertTrue(keptBytes < 4L * event.length(), keptBytes + " bytes are kept");
    stream.release();
    assertEquals(allocator.metric().usedHeapMemory(), 0);
  }

  /** Events that wait to be written must not change when the stream goes on. */
  @Test
  public void returnedEventsStayUnchangedWhileTheStreamGoesOn() {
    EventSplitter stream = new EventSplitter(UnpooledByteBufAllocator.DEFAULT);
    List<ByteBuf> waiting = new ArrayList<>();
    for (int i = 0; i < 50; i++) {
      String chunk = "half\n\nid: " + i + "\ndata: ";
      stream.add(Unpooled.copiedBuffer(chunk, StandardCharsets.UTF_8));
      waiting.add(stream.takeEvents());
    }
    stream.discardPartialEvent();
    stream.release();
    assertEquals(waiting.getFirst().toString(StandardCharsets.UTF_8), "half\n\n");
    for (int i = 1; i < waiting.size(); i++) {
      assertEquals(
          waiting.get(i).toString(StandardCharsets.UTF_8), "id: " + (i - 1) + "\ndata: half\n\n");
    }
    waiting.forEach(ByteBuf::release);
  }

  /** Guards against a repeated event that is passed on because an earlier attempt repeated more. */
  @Test
  public void failedContinuationDoesNotChangeWhatTheNextOneMustFollow() {
    splitter.continueAfter(new EventId("5"));
    assertEquals(add("id: 3\ndata: c\n\n"), "");
    splitter.discardPartialEvent();
    assertEquals(add("id: 4\ndata: d\n\n"), "");
    assertTrue(splitter.isOutOfOrder());
  }

  /** Guards against an event that is missing because a failed attempt had sent it. */
  @Test
  public void eventHeldBackWithLaterOneMayComeAgain() {
    splitter.continueAfter(new EventId("5"));
    assertEquals(add("id: 6\ndata: f\n\nid: 6\ndata: f\n\n"), "");
    splitter.discardPartialEvent();
    assertEquals(add("id: 6\ndata: f\n\n"), "id: 6\ndata: f\n\n");
  }

  /** Guards against continuations that are aborted because an event states its id twice. */
  @Test
  public void lastIdOfAnEventIsTheOneThatMustFollow() {
    splitter.continueAfter(new EventId("5"));
    assertEquals(add("id: 6\nid: 6\ndata: f\n\n"), "id: 6\nid: 6\ndata: f\n\n");
    assertEquals(splitter.lastId(), Optional.of(new EventId("6")));
  }
}
