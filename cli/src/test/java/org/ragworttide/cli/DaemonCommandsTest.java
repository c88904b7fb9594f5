package org.ragworttide.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;

/** Tests the commands that call a daemon, against a stub of its operators' listener. */
public class DaemonCommandsTest {
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final AtomicInteger drains = new AtomicInteger();
  private DisposableServer server;

  /** Starts the stub. */
  @BeforeClass
  public void start() {
    server =
        HttpServer.create()
            .host("127.0.0.1")
            .port(0)
            .route(
                routes ->
                    routes
                        .get(
                            "/status",
                            (in, response) ->
                                response.sendString(
                                    Mono.just("{\"vm\":\"vm-1\",\"fleet\":{\"vms\":3}}")))
                        .get(
                            "/audit",
                            (in, response) ->
                                response.sendString(
                                    Mono.just(
                                        "[{\"what\":\"zone\",\"query\":\"" + in.uri() + "\"}]")))
                        .post(
                            "/drain",
                            (in, response) -> {
                              drains.incrementAndGet();
                              return response.send();
                            }))
            .bindNow();
  }

  /** Stops the stub. */
  @AfterClass
  public void stop() {
    server.disposeNow();
  }

  @Test
  public void statusIsPrintedAsIndentedText() {
    assertEquals(run("status", url()), 0);
    assertEquals(text(), "vm: vm-1\nfleet:\n  vms: 3\n");
  }

  @Test
  public void statusIsPrintedAsJsonWithTheJsonOption() {
    assertEquals(run("status", "--json", url() + "/"), 0);
    assertEquals(text(), "{\"vm\":\"vm-1\",\"fleet\":{\"vms\":3}}\n");
  }

  @Test
  public void auditRequestsTheLastEntries() {
    assertEquals(run("audit", "--last", "5", url()), 0);
    assertEquals(text(), "what=zone  query=/audit?last=5\n");
  }

  @Test
  public void drainSendsOneRequest() {
    assertEquals(run("drain", url()), 0);
    assertEquals(drains.get(), 1);
  }

  @Test
  public void errorStatusesExitWithThree() {
    assertEquals(run("status", url() + "/nothing"), 3);
    assertTrue(text().contains("status 404"), text());
  }

  @Test
  public void loadCountsEveryDueRequestAndWritesThePlot() throws IOException {
    Path plot = Files.createTempFile("ragworttide", ".svg");
    try {
      assertEquals(
          run(
              "load",
              "--rate",
              "20",
              "--seconds",
              "1",
              "--warmup-seconds",
              "1",
              "--plot",
              plot.toString(),
              "--json",
              url() + "/status"),
          0);
      assertTrue(text().contains("\"outcomes\":{\"200\":20}"), text());
      assertTrue(Files.readString(plot).startsWith("<svg"));
    } finally {
      Files.delete(plot);
    }
  }

  private int run(String... args) {
    out.reset();
    return Main.run(args, new PrintStream(out, true), System.err);
  }

  private String text() {
    return out.toString(StandardCharsets.UTF_8);
  }

  private String url() {
    return "http://127.0.0.1:" + server.port();
  }
}
