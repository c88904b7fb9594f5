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

/** Refuses requests that could be read in two ways. */
public class RequestFramingTest {

  private static Optional<HttpResponseStatus> fault(String head) {
    EmbeddedChannel channel = new EmbeddedChannel(new StrictRequestDecoder(16_384));
    channel.writeInbound(
        Unpooled.copiedBuffer(head.replace("\n", "\r\n"), StandardCharsets.US_ASCII));
    HttpRequest request = channel.readInbound();
    return RequestFraming.fault(request, 1_000);
  }

  /** Returns requests that two parsers could read in two ways. */
  @DataProvider
  public Object[][] improper() {
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

  @Test(dataProvider = "improper")
  public void improperRequestIsRefused(String head) {
    assertEquals(fault(head), Optional.of(HttpResponseStatus.BAD_REQUEST));
  }

  @Test
  public void properRequestsPass() {
    assertEquals(fault("POST /a/ HTTP/1.1\nHost: h\nContent-Length: 5\n\n"), Optional.empty());
    assertEquals(
        fault("POST /a/ HTTP/1.1\nHost: h\nTransfer-Encoding: chunked\n\n"), Optional.empty());
    assertEquals(fault("GET /a/?q=1 HTTP/1.1\nHost: h\n\n"), Optional.empty());
  }

  @Test
  public void tooLongBodyAndHeadAreToldApart() {
    assertEquals(
        fault("POST /a/ HTTP/1.1\nHost: h\nContent-Length: 1001\n\n"),
        Optional.of(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE));
    assertEquals(
        fault("GET /a/ HTTP/1.1\nHost: h\nX: " + "a".repeat(17_000) + "\n\n"),
        Optional.of(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE));
  }
}
