package org.ragworttide.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.annotations.Test;

/** Tests that the HTTP path counts requests and attempts under documented metric names. */
public final class PathMetricsTest {

  @Test
  public void answersRefusalsAndRetriesAreCounted() throws IOException {
    ScriptedUpstream.Script hit =
        exchange ->
            exchange.write("HTTP/1.1 200 X\r\nCache-Reuse: hit\r\nContent-Length: 2\r\n\r\n{}");
    try (PathFixture path = PathFixture.start(exchange -> exchange.reset(), hit)) {
      path.send(path.request("/stock"));
      path.send(path.request("/stock").setHeader("Authorization", "Bearer wrong"));
      path.upstream(1).close();
      path.send(path.request("/stock"));
      assertEquals(count(path, "attempts;outcome=answered"), 1);
      assertTrue(count(path, "requests_tried_again") >= 1);
      assertEquals(count(path, "cache_reuse;result=hit"), 1);
      assertEquals(count(path, "refusals;code=key-unknown"), 1);
      assertEquals(count(path, "refusals_inside_rate;organisation=hotel"), 1);
      assertEquals(path.metrics.meter("requests;organisation=hotel").getCount(), 2);
      assertEquals(path.metrics.meter("answers;organisation=hotel").getCount(), 1);
      assertDocumented(path);
    }
  }

  private static long count(PathFixture path, String name) {
    return path.metrics.counter(name).getCount();
  }

  private static void assertDocumented(PathFixture path) throws IOException {
    String page =
        Files.readString(Path.of(System.getProperty("project.root"), "docs", "METRICS.md"));
    for (String name : path.metrics.getNames()) {
      String base = name.split(";")[0];
      assertTrue(page.contains("`" + base + "`") || page.contains("`" + base + "_nanos`"), base);
    }
  }
}
