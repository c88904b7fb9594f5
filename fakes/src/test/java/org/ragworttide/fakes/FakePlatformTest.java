package org.ragworttide.fakes;

import static org.testng.Assert.assertEquals;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.id.ZoneId;
import org.ragworttide.coordination.membership.VmEntry;
import org.ragworttide.coordination.membership.VmState;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests that clients can read and watch the fake platform, and that it simulates staleness and
 * outages.
 */
public class FakePlatformTest {
  private final HttpClient client = HttpClient.newHttpClient();
  private FakePlatform platform;

  /** Starts a platform. */
  @BeforeMethod
  public void start() {
    platform = FakePlatform.start(0);
  }

  /** Stops the platform. */
  @AfterMethod
  public void stop() {
    platform.close();
  }

  @Test
  public void waitingWatchesGetTheNextVersion() throws Exception {
    platform.publish("configuration", bytes("one"));
    CompletableFuture<HttpResponse<String>> watch =
        client.sendAsync(request("/v1/watch/configuration?after=1"), BodyHandlers.ofString());
    platform.publish("configuration", bytes("two"));
    assertEquals(watch.get().body(), "two");
    assertEquals(watch.get().headers().firstValue("Version").get(), "2");
  }

  @Test
  public void watchesWithoutNewVersionEndWithNoContent() throws Exception {
    platform.publish("configuration", bytes("one"));
    assertEquals(get("/v1/watch/configuration?after=1&timeoutMillis=20").statusCode(), 204);
  }

  @Test
  public void vmListsCarryTheEntriesOfThePreviousList() throws Exception {
    platform.publishVms(List.of(vm("vm-1")));
    platform.publishVms(List.of(vm("vm-2")));
    assertEquals(
        get("/v1/read/vms").body(),
        "{\"version\":2,\"vms\":[{\"id\":\"vm-2\",\"zone\":\"z\",\"state\":\"LIVE\","
            + "\"address\":\"127.0.0.1:1\"}],\"previous\":[{\"id\":\"vm-1\",\"zone\":\"z\","
            + "\"state\":\"LIVE\",\"address\":\"127.0.0.1:1\"}]}");
  }

  @Test
  public void stalePlatformsServeTheOlderVersionUntilReset() throws Exception {
    platform.publish("configuration", bytes("one"));
    platform.publish("configuration", bytes("two"));
    platform.serveStale("configuration", 1);
    assertEquals(get("/v1/read/configuration").body(), "one");
    platform.serveStale("configuration", 0);
    assertEquals(get("/v1/read/configuration").body(), "two");
  }

  @Test
  public void platformsThatAreDownAnswerWith503() throws Exception {
    platform.publish("configuration", bytes("one"));
    platform.setDown(true);
    assertEquals(get("/v1/read/configuration").statusCode(), 503);
  }

  @Test
  public void readsOfUnknownNamesAreNotFoundAndEachCallCounts() throws Exception {
    assertEquals(get("/v1/read/weights").statusCode(), 404);
    assertEquals(get("/v1/read/vms").statusCode(), 404);
    assertEquals(platform.calls(), 2);
  }

  private static VmEntry vm(String id) {
    return new VmEntry(new VmId(id), new ZoneId("z"), VmState.LIVE, "127.0.0.1:1");
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private HttpResponse<String> get(String path) throws Exception {
    return client.send(request(path), BodyHandlers.ofString());
  }

  private HttpRequest request(String path) {
    return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + platform.port() + path)).build();
  }
}
