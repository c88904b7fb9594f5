package org.ragworttide.document;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Pattern;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that the reader accepts a valid document and refuses others with every fault and its place.
 */
public class DocumentReaderTest {
  private static final String ORDERS =
      """
      "orders": {
        "weightStore": { "loadsPerSecond": 2, "burst": 4 },
        "engines": [
          { "id": "engine-1", "role": "serve", "fencing": "CHECKED",
            "models": [ { "id": "repair-8b", "version": "3" } ],
            "adapters": [ { "id": "slabs", "version": "1" } ] },
          { "id": "engine-2", "role": "serve", "fencing": "IGNORED",
            "models": [ { "id": "repair-8b", "version": "3" } ], "adapters": [] }
        ]
      },
      """;

  private String demo;

  /** Reads the demo's document, which is valid. */
  @BeforeClass
  public void readDemo() throws IOException {
    Path root = Path.of(System.getProperty("project.root", ".."));
    demo = Files.readString(root.resolve("fakes/src/main/resources/demo/configuration.json"));
  }

  @Test
  public void theDemosDocumentIsAccepted() {
    assertTrue(
        read(demo) instanceof DocumentResult.Accepted accepted
            && accepted.document().upstreams().size() == 4);
  }

  /** Returns replacements in the demo's document and the place of the fault that each causes. */
  @DataProvider
  public Object[][] faults() {
    return new Object[][] {
      {"\"loadMultiple\": 1.5", "\"loadMultiple\": 1", "/fleet/loadMultiple"},
      {"\"version\": 1", "\"version\": 0", "/version"},
      {"\"version\": 1,", "\"version\": 1, \"colour\": 1,", "/colour"},
      {"\"id\": \"chania\"", "\"id\": \"heraklion\"", "/zones/1/id"},
      {"\"organisation\": \"plumbers\"", "\"organisation\": \"x\"", "/keys/2/organisation"},
      {"\"zone\": \"chania\"", "\"zone\": \"athens\"", "/upstreams/1/zone"},
      {"127.0.0.1:9102", "127.0.0.1:9101", "/upstreams/1/address"},
      {"127.0.0.1:9102", "127.0.0.1:99102", "/upstreams/1/address"},
      {"b11d88b8", "B11d88b8", "/keys/0/sha256"},
      {"\"idempotent\": true", "\"idempotent\": false", "/routes/0/idempotent"},
      {"\"path\": \"/bookings\"", "\"path\": \"/opening-hours\"", "/routes/2/path"},
      {"[\"bookings-1\"]", "[\"bookings-2\"]", "/routes/1/upstreams/0"},
      {"[\"bookings-1\"]", "[\"engine-1\"]", "/routes/1/upstreams/0"},
      {"[\"bookings-1\"]", "[]", "/routes/1/upstreams"},
      {"\"windowMillis\": 10000", "\"windowMillis\": 600001", "/routes/1/windowMillis"},
      {"\"models\": [\"repair-8b\"]", "\"models\": []", "/upstreams/0/models"},
      {"\"burst\": 100", "\"burst\": \"many\"", "/organisations/0/burst"},
    };
  }

  @Test(dataProvider = "faults")
  public void everyFaultIsReportedWithItsPlace(String from, String to, String place) {
    assertTrue(demo.contains(from), "the demo's document lacks " + from);
    List<Fault> faults = faultsOf(demo.replaceFirst(Pattern.quote(from), to));
    assertTrue(
        faults.stream().anyMatch(fault -> fault.place().equals(place)), "faults were " + faults);
  }

  /** Returns replacements in a section of orders and the place of the fault that each causes. */
  @DataProvider
  public Object[][] orderFaults() {
    return new Object[][] {
      {"\"fencing\": \"CHECKED\"", "\"fencing\": \"YES\"", "/orders/engines/0/fencing"},
      {"\"id\": \"engine-2\"", "\"id\": \"engine-9\"", "/orders/engines/1/id"},
      {"\"id\": \"engine-2\"", "\"id\": \"bookings-1\"", "/orders/engines/1/id"},
      {"\"id\": \"engine-2\"", "\"id\": \"engine-1\"", "/orders/engines/1/id"},
      {"\"id\": \"repair-8b\"", "\"id\": \"other\"", "/orders/engines/0/models"},
      {"\"id\": \"slabs\"", "\"id\": \"repair-8b\"", "/orders/engines/0/adapters/0/id"},
      {"\"loadsPerSecond\": 2", "\"loadsPerSecond\": 0", "/orders/weightStore/loadsPerSecond"},
      {"\"version\": \"3\"", "\"version\": 3", "/orders/engines/0/models/0/version"},
    };
  }

  @Test(dataProvider = "orderFaults")
  public void everyFaultOfOrdersIsReportedWithItsPlace(String from, String to, String place) {
    String text = demo.replaceFirst("\"version\": 1,", "\"version\": 1,\n" + ORDERS);
    assertTrue(read(text) instanceof DocumentResult.Accepted, "faults were " + faultsOf(text));
    String faulty = text.replace(ORDERS, ORDERS.replaceFirst(Pattern.quote(from), to));
    assertTrue(
        faultsOf(faulty).stream().anyMatch(fault -> fault.place().equals(place)),
        "faults were " + faultsOf(faulty));
  }

  @Test
  public void schemaFaultsAndCrossCheckFaultsAreReportedTogether() {
    String text =
        demo.replace("\"loadMultiple\": 1.5", "\"loadMultiple\": 0")
            .replace("\"zone\": \"chania\"", "\"zone\": \"athens\"");
    assertEquals(
        faultsOf(text).stream().map(Fault::place).toList(),
        List.of("/fleet/loadMultiple", "/upstreams/1/zone"));
  }

  @Test
  public void maximumSizeIsAcceptedAndOneByteMoreIsRefused() {
    byte[] maximum = padded(DocumentReader.MAX_DOCUMENT_BYTES);
    assertTrue(DocumentReader.read(maximum) instanceof DocumentResult.Accepted);
    byte[] tooLarge = padded(DocumentReader.MAX_DOCUMENT_BYTES + 1);
    assertTrue(DocumentReader.read(tooLarge) instanceof DocumentResult.Refused);
  }

  @Test
  public void faultsOfMalformedTextNameLineAndColumn() {
    assertTrue(faultsOf("{\n \"version\": }").get(0).message().startsWith("line 2, column"));
  }

  @Test
  public void repeatedNamesAreRefused() {
    assertTrue(
        faultsOf(demo.replace("\"version\": 1", "\"version\": 1, \"version\": 2")).size() > 0);
  }

  @Test
  public void bytesThatAreNotUtf8AreRefused() {
    byte[] bytes = demo.getBytes(StandardCharsets.UTF_8);
    bytes[5] = (byte) 0xff;
    assertTrue(DocumentReader.read(bytes) instanceof DocumentResult.Refused);
  }

  private byte[] padded(int size) {
    byte[] text = demo.getBytes(StandardCharsets.UTF_8);
    byte[] bytes = Arrays.copyOf(text, size);
    Arrays.fill(bytes, text.length, size, (byte) ' ');
    return bytes;
  }

  private static List<Fault> faultsOf(String text) {
    return read(text) instanceof DocumentResult.Refused refused ? refused.faults() : List.of();
  }

  private static DocumentResult read(String text) {
    return DocumentReader.read(text.getBytes(StandardCharsets.UTF_8));
  }
}
