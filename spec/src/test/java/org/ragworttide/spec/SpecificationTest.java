package org.ragworttide.spec;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import edu.mit.csail.sdg.alloy4.A4Reporter;
import edu.mit.csail.sdg.ast.Command;
import edu.mit.csail.sdg.ast.Module;
import edu.mit.csail.sdg.parser.CompUtil;
import edu.mit.csail.sdg.translator.A4Options;
import edu.mit.csail.sdg.translator.A4Solution;
import edu.mit.csail.sdg.translator.TranslateAlloyToKodkod;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import kodkod.engine.satlab.SATFactory;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Checks the Alloy models: every assertion holds in its scope and every broken variant has a
 * counterexample.
 */
public class SpecificationTest {
  private static final String PREFERRED_SOLVER = "glucose";

  // Chosen once, since the search for solvers extracts and loads native code, which is not
  // thread-safe.
  private static final SATFactory SOLVER = chooseSolver();

  @DataProvider(parallel = true)
  Object[][] commands() {
    List<Object[]> rows = new ArrayList<>();
    for (String file : List.of("claim", "lease", "permits", "versions")) {
      for (Command command : parse(file).getAllCommands()) {
        rows.add(new Object[] {file, command.label});
      }
    }
    return rows.toArray(Object[][]::new);
  }

  @Test(dataProvider = "commands")
  public void everyCommandHasItsExpectedResult(String file, String label) {
    Module module = parse(file);
    Command command = find(module, label);
    assertTrue(command.expects >= 0, label + " declares no expected result");
    long start = System.nanoTime();
    boolean counterexample = solve(module, command).satisfiable();
    long millis = (System.nanoTime() - start) / 1_000_000;
    System.out.printf("%n%s %s: counterexample %b, %d ms%n", file, label, counterexample, millis);
    assertEquals(counterexample, command.expects == 1, file + " " + label);
  }

  @Test
  public void everyModelHasAssertionsAndBrokenVariants() {
    for (String file : List.of("claim", "lease", "permits", "versions")) {
      List<Command> commands = parse(file).getAllCommands();
      assertTrue(commands.stream().anyMatch(command -> command.expects == 0), file);
      assertTrue(commands.stream().anyMatch(command -> command.expects == 1), file);
    }
  }

  private static A4Solution solve(Module module, Command command) {
    A4Options options = new A4Options();
    options.solver = SOLVER;
    return TranslateAlloyToKodkod.execute_command(
        A4Reporter.NOP, module.getAllReachableSigs(), command, options);
  }

  private static SATFactory chooseSolver() {
    SATFactory solver =
        SATFactory.getSolvers().stream()
            .filter(candidate -> candidate.id().equals(PREFERRED_SOLVER) && candidate.isPresent())
            .findFirst()
            .orElse(SATFactory.DEFAULT);
    solver.instance().free();
    return solver;
  }

  private static Command find(Module module, String label) {
    return module.getAllCommands().stream()
        .filter(command -> command.label.equals(label))
        .findFirst()
        .orElseThrow();
  }

  private static Module parse(String file) {
    Path path = Path.of("src", "test", "resources", "ragworttide", file + ".als");
    return CompUtil.parseEverything_fromFile(
        A4Reporter.NOP, null, path.toAbsolutePath().toString());
  }
}
