package org.ragworttide.review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** What all cases have: the journal, the store and the gateways. */
abstract class Case implements AutoCloseable {
  static final String HOST = "desk.example";
  static final String KEY = "k9f2a4d1c07be2a35f68";

  final Journal journal;
  final boolean trouble;
  final Store store;
  final Fleet fleet;
  final SplittableRandom random = new SplittableRandom(7);
  private final List<AutoCloseable> opened = new ArrayList<>();
  private int requests;

  Case(Path root, Path folder, boolean trouble, int machines) throws Exception {
    this.trouble = trouble;
    journal = new Journal(folder.resolve("record.txt"));
    List<String> ips = new ArrayList<>();
    List<String> zones = new ArrayList<>();
    for (int i = 0; i < machines; i++) {
      ips.add("127.0.1." + (11 + i));
      zones.add(zone(i));
    }
    store = new Store(journal, "127.0.1.2");
    fleet = new Fleet(journal, root, ips, zones, store);
  }

  static String zone(int number) {
    return List.of("heraklion", "chania", "rethymno").get(number % 3);
  }

  /** Plays the case and returns whether the rule held. */
  abstract boolean play() throws Exception;

  /** Starts a server. */
  Upstream server(
      String ip, String id, String service, int zone, String version, Upstream.Work work)
      throws Exception {
    Upstream upstream = new Upstream(journal, ip, id, service, zone(zone), version, work);
    opened.add(upstream);
    return upstream;
  }

  /** Returns a route of the configuration. */
  static String route(String name, String path, String service, String settings) {
    return String.format(
        "{\"name\":\"%s\",\"host\":\"%s\",\"pathPrefix\":\"%s\",\"service\":\"%s\",%s,"
            + "\"priority\":1,\"anonymous\":false}",
        name, HOST, path, service, settings);
  }

  /** Publishes a configuration. */
  void configure(int version, String service, String... routes) {
    store.put(
        Wire.name("configuration"),
        String.format(
            "{\"version\":%d,\"routes\":[%s],"
                + "\"services\":[{\"name\":\"%s\",\"healthPath\":\"/health\",\"maxConns\":480,"
                + "\"protocol\":\"h1\",\"tls\":false,\"coldS\":3.0,\"coldPerS\":10.0}],"
                + "\"limits\":{\"headerBytes\":16384,\"maxBodyBytes\":4194304,"
                + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
                + "\"tenants\":[{\"name\":\"hotel\",\"apiKeys\":[\"%s\"],\"priority\":1}]}",
            version, String.join(",", routes), service, KEY));
  }

  synchronized String nextRequestId() {
    requests++;
    return String.format("%016x", 0x9c41d07b00000000L + requests);
  }

  @Override
  public void close() throws Exception {
    fleet.close();
    for (AutoCloseable it : opened) {
      it.close();
    }
    store.close();
    journal.close();
  }
}
