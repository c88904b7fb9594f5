package org.ragworttide.daemon.relay;

import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.Test;

/** Shows that operators can look up every refusal. */
public final class ProblemCodeTest {

  @Test
  public void operatorsPageNamesEveryCodeWithItsStatus() throws IOException {
    Path page = Path.of(System.getProperty("project.root"), "docs", "OPERATING.md");
    List<String> rows = Files.readAllLines(page);
    for (ProblemCode code : ProblemCode.values()) {
      String name = "`" + code.code() + "`";
      String status = Integer.toString(code.status());
      boolean named =
          rows.stream()
              .map(row -> row.split("\\|"))
              .anyMatch(
                  cells ->
                      cells.length > 2 && cells[1].contains(status) && cells[2].contains(name));
      assertTrue(named, code.code());
    }
  }
}
