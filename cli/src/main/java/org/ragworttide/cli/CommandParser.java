package org.ragworttide.cli;

import java.net.URI;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Parses the tool's arguments; stateless. */
final class CommandParser {
  static final String HELP =
      """
      usage: ragworttide COMMAND [--json] [options]
        check [--settings] FILE            check a configuration document or settings
        diff FROM TO                       compare two configuration documents
        explain --path PATH [--model MODEL] [--chat ID]
                [--key-file FILE | --key-digest SHA256] DOCUMENT
                                           how a request would be routed and limited
        status OPERATORS_URL               the state of a daemon and its view of the fleet
        audit [--last N] OPERATORS_URL     the last entries of a daemon's audit trail
        drain OPERATORS_URL                finish running requests and refuse new ones
        load --rate R [--seconds S] [--warmup-seconds S] [--key-file FILE]
             [--body TEXT] [--chats N] [--plot FILE.svg] URL
                                           send requests at a fixed rate
      FILE may be - for the standard input. Exit codes: 0 done, 1 negative answer,
      2 wrong arguments or unreadable file, 3 daemon unreachable.
      """;
  private static final int DEFAULT_AUDIT_ENTRIES = 20;
  private static final int DEFAULT_LOAD_SECONDS = 10;
  private static final int DEFAULT_WARMUP_SECONDS = 2;
  private static final int DEFAULT_CHATS = 100;

  private CommandParser() {}

  static ParseResult parse(String[] args) {
    if (args.length == 0) {
      return new ParseResult.Invalid("a command is missing; see ragworttide --help");
    }
    if (List.of("--help", "-h", "help").contains(args[0])) {
      return new ParseResult.Help(HELP);
    }
    try {
      CommandLine line =
          new DefaultParser().parse(options(args[0]), Arrays.copyOfRange(args, 1, args.length));
      return line.hasOption("help")
          ? new ParseResult.Help(HELP)
          : new ParseResult.Parsed(command(args[0], line), line.hasOption("json"));
    } catch (ParseException | IllegalArgumentException e) {
      return new ParseResult.Invalid(args[0] + ": " + e.getMessage());
    }
  }

  private static Options options(String name) {
    Options options = new Options();
    options.addOption(flag("json")).addOption(flag("help"));
    switch (name) {
      case "check" -> options.addOption(flag("settings"));
      case "explain" -> values(options, "path", "model", "chat", "key-file", "key-digest");
      case "audit" -> values(options, "last");
      case "load" ->
          values(options, "rate", "seconds", "warmup-seconds", "key-file", "body", "chats", "plot");
      default -> {}
    }
    return options;
  }

  private static Command command(String name, CommandLine line) {
    return switch (name) {
      case "check" -> new Command.Check(file(line, 0, 1), line.hasOption("settings"));
      case "diff" -> new Command.Diff(file(line, 0, 2), file(line, 1, 2));
      case "explain" -> explain(line);
      case "status" -> new Command.Status(url(line));
      case "audit" ->
          new Command.Audit(url(line), positiveInt(line, "last", DEFAULT_AUDIT_ENTRIES));
      case "drain" -> new Command.Drain(url(line));
      case "load" -> load(line);
      default -> throw new IllegalArgumentException("unknown command; see ragworttide --help");
    };
  }

  private static Command explain(CommandLine line) {
    Optional<String> digest =
        optional(line, "key-file")
            .map(name -> KeyFile.digest(Path.of(name)))
            .or(() -> optional(line, "key-digest"));
    return new Command.Explain(
        file(line, 0, 1),
        optional(line, "path").orElseThrow(() -> new IllegalArgumentException("--path is missing")),
        optional(line, "model"),
        digest,
        optional(line, "chat"));
  }

  private static Command load(CommandLine line) {
    return new Command.Load(
        url(line),
        rate(line),
        positiveInt(line, "seconds", DEFAULT_LOAD_SECONDS),
        positiveInt(line, "warmup-seconds", DEFAULT_WARMUP_SECONDS),
        optional(line, "key-file").map(Path::of),
        optional(line, "body"),
        positiveInt(line, "chats", DEFAULT_CHATS),
        optional(line, "plot").map(Path::of));
  }

  private static double rate(CommandLine line) {
    double rate = Double.parseDouble(line.getOptionValue("rate", "0"));
    if (!(rate > 0 && rate <= 100_000)) {
      throw new IllegalArgumentException("--rate must be above 0 and at most 100000");
    }
    return rate;
  }

  private static Path file(CommandLine line, int index, int count) {
    return Path.of(argument(line, index, count));
  }

  private static URI url(CommandLine line) {
    URI url = URI.create(argument(line, 0, 1));
    if (url.getHost() == null) {
      throw new IllegalArgumentException(
          "'" + url + "' is not a URL such as http://127.0.0.1:8201");
    }
    return url;
  }

  private static String argument(CommandLine line, int index, int count) {
    if (line.getArgList().size() != count) {
      throw new IllegalArgumentException("needs " + count + " arguments");
    }
    return line.getArgList().get(index);
  }

  private static int positiveInt(CommandLine line, String name, int defaultValue) {
    int value = Integer.parseInt(line.getOptionValue(name, Integer.toString(defaultValue)));
    if (value <= 0) {
      throw new IllegalArgumentException("--" + name + " must be positive");
    }
    return value;
  }

  private static Optional<String> optional(CommandLine line, String name) {
    return Optional.ofNullable(line.getOptionValue(name));
  }

  private static Option flag(String name) {
    return Option.builder().longOpt(name).get();
  }

  private static void values(Options options, String... names) {
    for (String name : names) {
      options.addOption(Option.builder().longOpt(name).hasArg().get());
    }
  }
}
