package org.ragworttide.fakes;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.Set;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that the fake engine answers, resumes streams and crashes as end-to-end tests need it. */
public class FakeEngineTest {
  private static final String CHAT =
      "{\"model\":\"m\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}";

  private final HttpClient client = HttpClient.newHttpClient();
  private FakeEngine engine;

  /** Starts an engine. */
  @BeforeMethod
  public void start() {
    engine = FakeEngine.start("engine-1", 0, Set.of("secret"));
  }

  /** Stops the engine. */
  @AfterMethod
  public void stop() {
    engine.close();
  }

  @Test
  public void returningChatsHitTheCache() throws Exception {
    assertEquals(chat("Chat-Id", "c").headers().firstValue("Cache-Reuse").get(), "miss");
    assertEquals(chat("Chat-Id", "c").headers().firstValue("Cache-Reuse").get(), "hit");
  }

  @Test
  public void chatsWithoutAnIdAreIdentifiedByTheirFirstMessage() throws Exception {
    assertEquals(chat("Accept", "*/*").headers().firstValue("Cache-Reuse").get(), "miss");
    assertEquals(chat("Accept", "*/*").headers().firstValue("Cache-Reuse").get(), "hit");
  }

  @Test
  public void resumedStreamsSkipTheReceivedChunks() throws Exception {
    String whole = chat("Chat-Id", "c").body();
    String rest = chat("Stream-Resume-After", "3").body();
    assertEquals(rest, whole.substring(whole.length() - rest.length()));
    assertEquals(rest.split("data: ").length, whole.split("data: ").length - 3);
  }

  @Test
  public void crashesCutTheAnswerAndIncreaseTheIncarnation() throws Exception {
    control("crash?afterChunks=2");
    assertThrows(IOException.class, () -> chat("Chat-Id", "c"));
    assertEquals(engine.report().incarnation(), 2);
    assertEquals(chat("Chat-Id", "c").headers().firstValue("Cache-Reuse").get(), "miss");
  }

  @Test
  public void keysInHeadersAreCounted() throws Exception {
    chat("Cookie", "session=secret");
    chat("Authorization", "Basic x");
    chat("Chat-Id", "c");
    assertEquals(Json.parse(stats().getBytes()).path("keysSeen").asInt(), 2);
  }

  private HttpResponse<String> chat(String header, String value) throws Exception {
    return client.send(
        HttpRequest.newBuilder(uri("/v1/chat/completions"))
            .header(header, value)
            .POST(BodyPublishers.ofString(CHAT))
            .build(),
        BodyHandlers.ofString());
  }

  private void control(String command) throws Exception {
    client.send(
        HttpRequest.newBuilder(uri("/control/" + command)).POST(BodyPublishers.noBody()).build(),
        BodyHandlers.discarding());
  }

  private String stats() throws Exception {
    return client
        .send(HttpRequest.newBuilder(uri("/control/stats")).build(), BodyHandlers.ofString())
        .body();
  }

  private URI uri(String path) {
    return URI.create("http://127.0.0.1:" + engine.port() + path);
  }
}
