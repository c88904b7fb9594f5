package org.ragworttide.gateway.caller;

import static org.testng.Assert.assertEquals;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that requests with ambiguous framing are refused. */
public class RequestFramingTest {

  private static Optional<HttpResponseStatus> errorStatus(String head) {
    EmbeddedChannel channel = new EmbeddedChannel(new StrictRequestDecoder(16_384));
    channel.writeInbound(
        Unpooled.copiedBuffer(head.replace("\n", "\r\n"), StandardCharsets.US_ASCII));
    HttpRequest request = channel.readInbound();
    return RequestFraming.errorStatus(request, 1_000);
  }

  /** Returns requests that two parsers could interpret differently. */
  @DataProvider
  public Object[][] ambiguous() {
    return new Object[][] {
      {"POST /a/ HTTP/1.1\nHost: h\nContent-Length: 5\nTransfer-Encoding: chunked\n\n"},
      {"POST /a/ HTTP/1.1\nHost: h\nTransfer-Encoding: xchunked\n\n"},
      {"POST /a/ HTTP/1.1\nHost: h\nTransfer-Encoding: chunked, identity\n\n"},
      {"POST /a/ HTTP/1.1\nHost: h\nTransfer-Encoding: chunked\nTransfer-Encoding: chunked\n\n"},
      {"POST /a/ HTTP/1.1\nHost: h\nContent-Length: 5\nContent-Length: 6\n\n"},
      {"POST /a/ HTTP/1.1\nHost: h\nContent-Length: +5\n\n"},
      {"POST /a/ HTTP/1.1\nHost: h\nContent-Length : 5\n\n"},
      {"POST /a/ HTTP/1.1\nHost: h\nHost: i\n\n"},
      {"POST /a/ HTTP/1.1\n\n"},
      {"POST /a/ HTTP/1.0\nHost: h\nTransfer-Encoding: chunked\n\n"},
      {"POST http://h/a/ HTTP/1.1\nHost: h\n\n"},
    };
  }

  @Test(dataProvider = "ambiguous")
  public void ambiguousRequestIsRefused(String head) {
    assertEquals(errorStatus(head), Optional.of(HttpResponseStatus.BAD_REQUEST));
  }

  @Test
  public void wellFramedRequestsAreAccepted() {
    assertEquals(
        errorStatus("POST /a/ HTTP/1.1\nHost: h\nContent-Length: 5\n\n"), Optional.empty());
    assertEquals(
        errorStatus("POST /a/ HTTP/1.1\nHost: h\nTransfer-Encoding: chunked\n\n"),
        Optional.empty());
    assertEquals(errorStatus("GET /a/?q=1 HTTP/1.1\nHost: h\n\n"), Optional.empty());
  }

  @Test
  public void tooLongBodyAndTooLongHeadersHaveDifferentStatuses() {
    assertEquals(
        errorStatus("POST /a/ HTTP/1.1\nHost: h\nContent-Length: 1001\n\n"),
        Optional.of(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE));
    assertEquals(
        errorStatus("GET /a/ HTTP/1.1\nHost: h\nX: " + "a".repeat(17_000) + "\n\n"),
        Optional.of(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE));
  }
}
