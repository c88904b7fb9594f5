package org.ragworttide.daemon.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that answers that are cut off or never end are not taken for documents. */
public class PlatformClientTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  /** A document of the largest size, the buffers of the sockets and of the client. */
  private static final long MAX_RECEIVED_BYTES = 32_000_000;

  /** Bytes after which the service ends an answer that the client does not close. */
  private static final long MAX_SENT_BYTES = 400_000_000;

  /** Answers one call. */
  private interface Script {
    void answer(Socket socket) throws IOException;
  }

  private ServerSocket listener;
  private PlatformClient client;

  /** Opens the service's port and a client. */
  @BeforeMethod
  public void start() throws IOException {
    listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
    client = new PlatformClient("127.0.0.1:" + listener.getLocalPort());
  }

  /** Closes the service's port. */
  @AfterMethod(alwaysRun = true)
  public void stop() throws IOException {
    listener.close();
  }

  private void serve(Script script) {
    Thread.ofVirtual()
        .start(
            () -> {
              try {
                while (true) {
                  Socket socket = listener.accept();
                  Thread.ofVirtual().start(() -> answer(socket, script));
                }
              } catch (IOException e) {
                // The listener was closed.
              }
            });
  }

  private static void answer(Socket socket, Script script) {
    try (socket) {
      InputStream in = socket.getInputStream();
      StringBuilder head = new StringBuilder();
      while (head.indexOf("\r\n\r\n") < 0) {
        head.append((char) in.read());
      }
      script.answer(socket);
    } catch (IOException e) {
      // The client has closed the connection.
    }
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }

  /** Beginnings of answers, each followed by bytes that are repeated. */
  @DataProvider
  public Object[][] endlessAnswers() {
    String body = "d".repeat(10_000);
    String chunk = Integer.toHexString(body.length()) + "\r\n" + body + "\r\n";
    String chunked = "HTTP/1.1 200 OK\r\nVersion: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
    return new Object[][] {
      {"HTTP/1.1 200 OK\r\nVersion: 1\r\n\r\n", body},
      {chunked, chunk},
      {chunked.replace("200", "503"), chunk},
      {chunked + "5;", body},
      {chunked + "0\r\n", "X-Filler: 0123456789\r\n".repeat(100)},
      {"HTTP/1.1 200 ", body},
      {"HTTP/1.1 200 OK\r\n", "X-Filler: 0123456789\r\n".repeat(100)},
    };
  }

  /** Guards against a reader that keeps an answer without end until its memory ends. */
  @Test(dataProvider = "endlessAnswers")
  public void answerWithoutEndIsCutOffAtTheLargestDocument(String beginning, String repeated) {
    AtomicLong sent = new AtomicLong();
    byte[] block = repeated.getBytes(StandardCharsets.US_ASCII);
    serve(
        socket -> {
          write(socket, beginning);
          while (sent.get() < MAX_SENT_BYTES) {
            socket.getOutputStream().write(block);
            sent.addAndGet(block.length);
          }
        });
    PlatformReply reply = client.read("configuration").block(TIMEOUT);
    assertTrue(reply instanceof PlatformReply.Unavailable, String.valueOf(reply));
    assertTrue(sent.get() < MAX_RECEIVED_BYTES, sent + " bytes sent");
  }

  /** Complete answers; each is cut off at every byte, with the end of the connection or a reset. */
  @DataProvider
  public Object[][] answers() {
    String head = "HTTP/1.1 200 OK\r\nVersion: 17\r\n";
    String chunks = "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n";
    return new Object[][] {
      {head + "Content-Length: 7\r\n\r\nabcdefg", 0},
      {head + chunks, 0},
      {head + chunks.replace("0\r\n\r\n", "0\r\nX-Trailer: a\r\n\r\n"), 0},
      {"HTTP/1.1 204 No Content\r\n\r\n", 0},
      // Only a reset tells a body without a length that is cut off from a complete one.
      {head + "\r\nabcdefg", 7},
    };
  }

  /** Guards against half of a document, or half of its version, being taken for the whole. */
  @Test(dataProvider = "answers")
  public void answerThatIsCutOffIsNotTakenForDocument(String answer, int unframedBytes) {
    AtomicLong cut = new AtomicLong();
    AtomicLong reset = new AtomicLong();
    serve(
        socket -> {
          write(socket, answer.substring(0, (int) cut.get()));
          if (reset.get() == 1) {
            socket.setSoLinger(true, 0);
          }
        });
    for (int ending = 0; ending <= 1; ending++) {
      reset.set(ending);
      int complete = ending == 1 ? answer.length() : answer.length() - unframedBytes;
      for (int length = 0; length < complete; length++) {
        cut.set(length);
        PlatformReply reply = client.read("configuration").block(TIMEOUT);
        assertTrue(
            reply instanceof PlatformReply.Unavailable,
            "cut at " + length + ", reset " + ending + ": " + reply);
      }
    }
    reset.set(0);
    cut.set(answer.length());
    PlatformReply whole = client.read("configuration").block(TIMEOUT);
    if (whole instanceof PlatformReply.Published published) {
      assertEquals(published.version(), 17);
      assertEquals(new String(published.body(), StandardCharsets.US_ASCII), "abcdefg");
    } else {
      assertTrue(whole instanceof PlatformReply.Unchanged, String.valueOf(whole));
    }
  }
}
