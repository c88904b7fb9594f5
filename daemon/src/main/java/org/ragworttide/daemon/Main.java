package org.ragworttide.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.ragworttide.daemon.log.LogSetup;
import org.ragworttide.daemon.runtime.Daemon;
import org.ragworttide.daemon.runtime.ExitCode;
import org.ragworttide.document.Fault;
import org.ragworttide.document.settings.DaemonSettings;
import org.ragworttide.document.settings.SettingsReader;
import org.ragworttide.document.settings.SettingsResult;

/** Starts the daemon from the command line; holds no state. */
public final class Main {
  private static final String VERSION = "0.1.0";

  private Main() {}

  /** Runs the daemon until it is stopped. */
  public static void main(String[] args) {
    ExitCode code = run(args);
    System.exit(code.code());
  }

  private static ExitCode run(String[] args) {
    Options options = options();
    CommandLine line;
    try {
      line = new DefaultParser().parse(options, args);
    } catch (ParseException e) {
      System.err.println("ragworttided: " + e.getMessage());
      return ExitCode.USAGE;
    }
    if (line.hasOption("help")) {
      new HelpFormatter().printHelp("ragworttided --settings FILE", options);
      return ExitCode.OK;
    }
    if (line.hasOption("version")) {
      System.out.println("ragworttided " + VERSION);
      return ExitCode.OK;
    }
    if (!line.hasOption("settings")) {
      System.err.println("ragworttided: --settings FILE is missing");
      return ExitCode.USAGE;
    }
    return runWithSettings(line);
  }

  private static ExitCode runWithSettings(CommandLine line) {
    Path file = Path.of(line.getOptionValue("settings"));
    try {
      return switch (SettingsReader.read(Files.readAllBytes(file))) {
        case SettingsResult.Refused refused -> printFaults(file, refused.faults());
        case SettingsResult.Accepted accepted ->
            line.hasOption("check") ? ExitCode.OK : serve(accepted.settings());
      };
    } catch (IOException e) {
      System.err.println("ragworttided: cannot read " + file + ": " + e.getMessage());
      return ExitCode.SETTINGS;
    }
  }

  private static ExitCode printFaults(Path file, List<Fault> faults) {
    faults.forEach(fault -> System.err.println(file + ": " + fault));
    return ExitCode.SETTINGS;
  }

  private static ExitCode serve(DaemonSettings settings) {
    LogSetup.apply(settings.log());
    Daemon daemon;
    try {
      daemon = Daemon.start(settings).block();
    } catch (RuntimeException e) {
      System.err.println("ragworttided: cannot listen: " + e.getMessage());
      return ExitCode.LISTEN;
    }
    Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(daemon), "shutdown"));
    daemon.onStopped().block();
    return ExitCode.OK;
  }

  private static void stop(Daemon daemon) {
    daemon.drain("signal").block();
    // Without this call, the exit code of a normal stop would report the signal.
    Runtime.getRuntime().halt(ExitCode.OK.code());
  }

  private static Options options() {
    return new Options()
        .addOption(null, "settings", true, "settings file, JSON with comments")
        .addOption(null, "check", false, "check the settings and exit")
        .addOption(null, "version", false, "print the version and exit")
        .addOption(null, "help", false, "print this help and exit");
  }
}
