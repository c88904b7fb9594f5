package org.ragworttide.document.settings;

import static org.testng.Assert.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.ragworttide.document.Fault;
import org.testng.annotations.Test;

/** Tests that the page on settings lists every setting and that its example is valid. */
public class SettingsPageTest {

  @Test
  public void thePageListsEverySetting() throws IOException {
    List<String> missing = new ArrayList<>();
    try (InputStream in =
        SettingsReader.class.getResourceAsStream(
            "/org/ragworttide/document/settings.schema.json")) {
      collectMissing("", new JsonMapper().readTree(in), page(), missing);
    }
    assertEquals(missing, List.of());
  }

  @Test
  public void theExampleOnThePageIsValid() throws IOException {
    String page = page();
    int start = page.indexOf("```json") + "```json".length();
    String example = page.substring(start, page.indexOf("```", start));
    List<Fault> faults =
        SettingsReader.read(example.getBytes(StandardCharsets.UTF_8))
                instanceof SettingsResult.Refused refused
            ? refused.faults()
            : List.of();
    assertEquals(faults, List.of());
  }

  private static void collectMissing(
      String prefix, JsonNode schema, String page, List<String> missing) {
    schema
        .path("properties")
        .properties()
        .forEach(
            property -> {
              String name = prefix + property.getKey();
              boolean leaf = !property.getValue().has("properties") || name.endsWith(".tls");
              if (leaf && !page.contains("`" + name + "`")) {
                missing.add(name);
              }
              if (!leaf) {
                collectMissing(name + ".", property.getValue(), page, missing);
              }
            });
  }

  private static String page() throws IOException {
    return Files.readString(
        Path.of(System.getProperty("project.root", "..")).resolve("docs/SETTINGS.md"));
  }
}
