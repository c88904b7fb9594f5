package org.ragworttide.daemon.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import org.ragworttide.fakes.FakeEngine;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that daemon processes send orders to fake engines, and which answers callers receive. */
public class EngineOrdersTest {
  private static final String OLD_ORDER =
      "{\"role\":\"old\",\"models\":[],\"adapters\":[],\"fetch\":{}}";

  private DaemonProcesses fleet;
  private FakeEngine checking;
  private FakeEngine ignoring;

  /**
   * Starts engines that accept orders, and three daemons with a configuration that contains orders.
   */
  @BeforeMethod
  public void start() throws IOException {
    fleet = new DaemonProcesses();
    checking = fleet.fakes().engines().get(0);
    ignoring = fleet.fakes().engines().get(1);
    checking.acceptOrders(true);
    ignoring.acceptOrders(false);
    fleet.publish(1, TestDocuments.orders(1, checking.port(), ignoring.port()));
    DaemonProcesses.await(() -> checking.fetches() == 2 && ignoring.fetches() == 1);
  }

  /** Stops the daemons and the fakes. */
  @AfterMethod(alwaysRun = true)
  public void stop() throws IOException {
    fleet.close();
  }

  @Test
  public void callersAreServedByOrderedModelsAndOrdersAreRepeatedAfterRestartAndLateOrder() {
    DaemonProcesses.await(() -> fleet.chat(0, "repair").join().status() == 200);
    DaemonProcesses.await(() -> fleet.chat(1, "slabs").join().status() == 200);
    DaemonProcesses.await(() -> fleet.status(0).contains("\"pendingOrders\":[]"));
    checking.crash();
    DaemonProcesses.await(() -> checking.fetches() == 4);
    DaemonProcesses.await(() -> order(checking, 0) == 409);
    assertEquals(checking.fetches(), 4);
    assertEquals(order(ignoring, 0), 200);
    DaemonProcesses.await(() -> ignoring.fetches() == 2);
    DaemonProcesses.await(() -> fleet.status(2).contains("\"pendingOrders\":[]"));
    assertTrue(fleet.chat(2, "repair").join().status() == 200, "no answer after the late order");
  }

  private static int order(FakeEngine engine, long number) {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + engine.port() + "/v1/orders"))
            .header("Fencing-Number", Long.toString(number))
            .POST(HttpRequest.BodyPublishers.ofString(OLD_ORDER))
            .build();
    return HttpClient.newHttpClient()
        .sendAsync(request, HttpResponse.BodyHandlers.discarding())
        .join()
        .statusCode();
  }
}
