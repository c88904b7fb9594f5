package org.ragworttide.daemon.relay;

import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.Test;

/** Tests that the operators' manual lists every refusal code with its status. */
public final class ProblemCodeTest {

  @Test
  public void operatorsManualListsEveryCodeWithItsStatus() throws IOException {
    Path manual = Path.of(System.getProperty("project.root"), "docs", "OPERATING.md");
    List<String> rows = Files.readAllLines(manual);
    for (ProblemCode code : ProblemCode.values()) {
      String name = "`" + code.code() + "`";
      String status = Integer.toString(code.status());
      boolean listed =
          rows.stream()
              .map(row -> row.split("\\|"))
              .anyMatch(
                  cells ->
                      cells.length > 2 && cells[1].contains(status) && cells[2].contains(name));
      assertTrue(listed, code.code());
    }
  }
}
