package org.ragworttide.daemon.log;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.testng.annotations.Test;

/** Tests that the log catalogue lists every event and that JSON lines contain the event number. */
public final class LogEventTest {

  @Test
  public void catalogueListsEveryEventAndNoOther() throws IOException {
    Path page = Path.of(System.getProperty("project.root"), "docs", "LOG-CATALOGUE.md");
    List<String> documented =
        Files.readAllLines(page).stream()
            .filter(line -> line.startsWith("| RWT"))
            .map(line -> line.split("\\|"))
            .map(cells -> cells[1].strip() + " " + cells[2].strip())
            .toList();
    List<String> coded =
        Arrays.stream(LogEvent.values())
            .map(event -> "RWT%04d %s %s".formatted(event.number(), event.name(), event.level()))
            .toList();
    assertEquals(documented, coded);
  }

  @Test
  public void numbersAreUnique() {
    long numbers = Arrays.stream(LogEvent.values()).mapToInt(LogEvent::number).distinct().count();
    assertEquals(numbers, LogEvent.values().length);
  }

  @Test
  public void jsonLineContainsNumberAndText() throws IOException {
    LogRecord event = new LogRecord(Level.INFO, "RWT1004 stopped \"well\"\nand whole");
    event.setLoggerName("org.ragworttide");
    String line = new LogSetup.JsonFormat().format(event);
    JsonNode fields = new ObjectMapper().readTree(line);
    assertEquals(fields.path("event").asText(), "RWT1004");
    assertEquals(fields.path("message").asText(), "stopped \"well\"\nand whole");
    assertTrue(line.indexOf('\n') == line.length() - 1, line);
  }
}
