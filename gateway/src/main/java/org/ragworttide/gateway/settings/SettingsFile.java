package org.ragworttide.gateway.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads a gateway's settings file, JSON with comments; stateless. */
public final class SettingsFile {
  private static final JsonMapper JSON =
      JsonMapper.builder()
          .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
          .build();

  private SettingsFile() {}

  /** The outcome of reading a settings file. */
  public sealed interface Result {

    /** The file is in order. */
    record Read(SettingsDocument settings) implements Result {}

    /** The file can't be used. */
    record Refused(String reason) implements Result {}
  }

  /** Reads and checks the file. */
  public static Result read(Path file) {
    try {
      return parse(Files.readString(file));
    } catch (IOException e) {
      return new Result.Refused(file + " cannot be read: " + e.getClass().getSimpleName());
    }
  }

  /** Reads and checks the text of a settings file. */
  public static Result parse(String text) {
    try {
      return new Result.Read(JSON.readValue(text, SettingsDocument.class));
    } catch (JsonProcessingException e) {
      return new Result.Refused(e.getOriginalMessage());
    }
  }
}
