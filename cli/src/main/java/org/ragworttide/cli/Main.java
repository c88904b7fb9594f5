package org.ragworttide.cli;

import java.io.PrintStream;

/** The command-line tool {@code ragworttide}; holds no state. */
public final class Main {

  private Main() {}

  /** Runs one command and exits with its code. */
  public static void main(String[] args) {
    System.exit(run(args, System.out, System.err));
  }

  static int run(String[] args, PrintStream out, PrintStream err) {
    return switch (CommandParser.parse(args)) {
      case ParseResult.Help help -> {
        out.print(help.text());
        yield ExitCode.OK.code();
      }
      case ParseResult.Invalid invalid -> fail(err, invalid.message());
      case ParseResult.Parsed parsed -> run(parsed, out, err);
    };
  }

  private static int run(ParseResult.Parsed parsed, PrintStream out, PrintStream err) {
    try {
      Report report = run(parsed.command());
      out.print(parsed.json() ? report.json().toString() + "\n" : report.text());
      return report.exit().code();
    } catch (Documents.UnusableFileException e) {
      return fail(err, e.getMessage());
    }
  }

  private static Report run(Command command) {
    return switch (command) {
      case Command.Check check -> CheckRunner.run(check);
      case Command.Diff diff -> DiffRunner.run(diff);
      case Command.Explain explain -> ExplainRunner.run(explain);
      case Command.Status status -> OperatorsClient.status(status);
      case Command.Audit audit -> OperatorsClient.audit(audit);
      case Command.Drain drain -> OperatorsClient.drain(drain);
      case Command.Load load -> LoadRunner.run(load);
    };
  }

  private static int fail(PrintStream err, String message) {
    err.println("ragworttide: " + message);
    return ExitCode.USAGE.code();
  }
}
