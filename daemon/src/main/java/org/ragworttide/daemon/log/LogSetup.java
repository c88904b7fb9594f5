package org.ragworttide.daemon.log;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.time.Instant;
import java.util.logging.ConsoleHandler;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.ragworttide.document.settings.DaemonSettings;

/** Configures the format and level of the process log; stateless. */
public final class LogSetup {
  /** The capacity of the queue, which holds the lines of a few seconds on a busy VM. */
  private static final int QUEUED_LINES = 4_096;

  private LogSetup() {}

  /** Applies the settings to the whole process. */
  public static void apply(DaemonSettings.Log settings) {
    Logger root = Logger.getLogger("");
    for (Handler handler : root.getHandlers()) {
      root.removeHandler(handler);
    }
    Handler handler = new ConsoleHandler();
    handler.setFormatter(
        switch (settings.format()) {
          case TEXT -> new TextFormat();
          case JSON -> new JsonFormat();
        });
    Level level = level(settings.level());
    handler.setLevel(level);
    root.setLevel(Level.WARNING);
    Logger.getLogger("org.ragworttide").setLevel(level);
    root.addHandler(handler);
  }

  /** Writes JSON lines to standard output on a dedicated thread, at level INFO. */
  public static void queueJsonLines() {
    Logger root = Logger.getLogger("");
    for (Handler handler : root.getHandlers()) {
      root.removeHandler(handler);
    }
    root.setLevel(Level.WARNING);
    Logger.getLogger("org.ragworttide").setLevel(Level.INFO);
    root.addHandler(QueueingHandler.toStandardOutput(new JsonFormat(), QUEUED_LINES));
  }

  /** Waits for a limited time until the lines that have been logged are written. */
  public static void flush() {
    for (Handler handler : Logger.getLogger("").getHandlers()) {
      handler.flush();
    }
  }

  private static Level level(DaemonSettings.LogLevel level) {
    return switch (level) {
      case ERROR -> Level.SEVERE;
      case WARN -> Level.WARNING;
      case INFO -> Level.INFO;
      case DEBUG -> Level.FINE;
    };
  }

  /** Formats an event as one line of text. */
  private static final class TextFormat extends Formatter {
    @Override
    public String format(LogRecord event) {
      return "%s %-7s %s%n"
          .formatted(
              Instant.ofEpochMilli(event.getMillis()), event.getLevel(), formatMessage(event));
    }
  }

  /** Formats an event as one JSON object. */
  static final class JsonFormat extends Formatter {
    private static final JsonFactory JSON = new JsonFactory();

    @Override
    public String format(LogRecord event) {
      String message = formatMessage(event);
      StringWriter line = new StringWriter();
      try (JsonGenerator json = JSON.createGenerator(line)) {
        json.writeStartObject();
        json.writeStringField("at", Instant.ofEpochMilli(event.getMillis()).toString());
        json.writeStringField("level", event.getLevel().getName());
        json.writeStringField("logger", event.getLoggerName());
        if (EventLog.isNumbered(message)) {
          json.writeStringField("event", message.substring(0, EventLog.NUMBER_CHARS));
          message = message.substring(EventLog.NUMBER_CHARS + 1);
        }
        json.writeStringField("message", message);
        json.writeEndObject();
      } catch (IOException e) {
        throw new IllegalStateException("text cannot be written as JSON", e);
      }
      return line + System.lineSeparator();
    }
  }
}
