package org.ragworttide.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Tests the exit codes of the tool and its output as text and as JSON. */
public class MainTest {
  private static final String HOTEL_DIGEST =
      "b11d88b87fdcff1464cdc2b04c2893ffd25b27aeeb8859cc26b09703196e1ac4";

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();
  private String demo;
  private Path changed;

  /** Writes a copy of the demo's document with another burst. */
  @BeforeClass
  public void prepare() throws IOException {
    Path root = Path.of(System.getProperty("project.root", ".."));
    Path file = root.resolve("fakes/src/main/resources/demo/configuration.json");
    demo = file.toString();
    changed = Files.createTempFile("ragworttide", ".json");
    Files.writeString(changed, Files.readString(file).replace("\"burst\": 10 ", "\"burst\": 20 "));
  }

  /** Removes the copy. */
  @AfterClass
  public void remove() throws IOException {
    Files.delete(changed);
  }

  @Test
  public void validDocumentsExitWithZero() {
    assertEquals(run("check", "--json", demo), 0);
    assertEquals(text(), "{\"valid\":true,\"faults\":[]}\n");
  }

  @Test
  public void refusedFilesNameEveryFaultAndExitWithOne() {
    assertEquals(run("check", "--settings", demo), 1);
    assertTrue(text().contains("/callers: "), text());
  }

  @Test
  public void unreadableFilesExitWithTwo() {
    assertEquals(run("check", "/no/such/file"), 2);
  }

  @Test
  public void unknownCommandsAndOptionsExitWithTwo() {
    assertEquals(run("serve"), 2);
    assertEquals(run("check", "--colour", demo), 2);
    assertEquals(run(), 2);
  }

  @Test
  public void diffListsEachChangedValueOnce() {
    assertEquals(run("diff", demo, changed.toString()), 1);
    assertEquals(text(), "~ /organisations/plumbers/burst: 10.0 -> 20.0\n");
    assertEquals(run("diff", demo, demo), 0);
  }

  @Test
  public void explainPrintsOrganisationAndCandidates() {
    assertEquals(
        run("explain", "--path", "/bookings", "--key-digest", HOTEL_DIGEST, "--json", demo), 0);
    assertTrue(text().contains("\"organisation\":\"hotel-chania\""), text());
    assertTrue(text().contains("\"upstream\":\"bookings-1\""), text());
  }

  @Test
  public void explainPrintsTheStatusOfRefusedRequests() {
    assertEquals(run("explain", "--path", "/bookings", demo), 1);
    assertTrue(text().contains("401"), text());
    assertEquals(run("explain", "--path", "/nothing", demo), 1);
    assertTrue(text().contains("404"), text());
  }

  @Test
  public void unreachableDaemonsExitWithThree() {
    assertEquals(run("status", "http://127.0.0.1:1"), 3);
  }

  private int run(String... args) {
    out.reset();
    err.reset();
    return Main.run(args, new PrintStream(out, true), new PrintStream(err, true));
  }

  private String text() {
    return out.toString(StandardCharsets.UTF_8);
  }
}
