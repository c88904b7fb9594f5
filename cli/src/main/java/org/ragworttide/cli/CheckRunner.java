package org.ragworttide.cli;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.ragworttide.document.DocumentReader;
import org.ragworttide.document.DocumentResult;
import org.ragworttide.document.Fault;
import org.ragworttide.document.settings.SettingsReader;
import org.ragworttide.document.settings.SettingsResult;

/** Validates a document or settings in the same way as the daemon; stateless. */
final class CheckRunner {

  private CheckRunner() {}

  static Report run(Command.Check command) {
    byte[] bytes = Documents.bytes(command.file());
    List<Fault> faults = command.settings() ? settingsFaults(bytes) : documentFaults(bytes);
    String text =
        faults.isEmpty()
            ? command.file() + " is valid\n"
            : command.file() + " is refused:\n" + Documents.lines(faults);
    return new Report(faults.isEmpty() ? ExitCode.OK : ExitCode.NEGATIVE, text, json(faults));
  }

  private static List<Fault> documentFaults(byte[] bytes) {
    return switch (DocumentReader.read(bytes)) {
      case DocumentResult.Accepted accepted -> List.of();
      case DocumentResult.Refused refused -> refused.faults();
    };
  }

  private static List<Fault> settingsFaults(byte[] bytes) {
    return switch (SettingsReader.read(bytes)) {
      case SettingsResult.Accepted accepted -> List.of();
      case SettingsResult.Refused refused -> refused.faults();
    };
  }

  private static ObjectNode json(List<Fault> faults) {
    ObjectNode json = JsonNodeFactory.instance.objectNode();
    json.put("valid", faults.isEmpty());
    ArrayNode list = json.putArray("faults");
    faults.forEach(
        fault -> list.addObject().put("place", fault.place()).put("message", fault.message()));
    return json;
  }
}
