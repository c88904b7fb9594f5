package org.ragworttide.document.json;

import com.fasterxml.jackson.databind.JsonNode;
import com.networknt.schema.Error;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SchemaRegistryConfig;
import com.networknt.schema.SpecificationVersion;
import com.networknt.schema.path.PathType;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import org.ragworttide.document.Fault;

/**
 * Validates a tree against one JSON Schema and reports every fault with its JSON pointer.
 *
 * <p>Invariant: the schema does not change. Immutable, safe for use by any thread.
 */
public final class SchemaChecker {
  private static final SchemaRegistry REGISTRY =
      SchemaRegistry.withDefaultDialect(
          SpecificationVersion.DRAFT_2020_12,
          builder ->
              builder.schemaRegistryConfig(
                  SchemaRegistryConfig.builder()
                      .pathType(PathType.JSON_POINTER)
                      .locale(Locale.ROOT)
                      .build()));

  private final Schema schema;

  private SchemaChecker(Schema schema) {
    this.schema = schema;
  }

  /** Loads a schema from the class path. */
  public static SchemaChecker ofResource(String name) {
    try (InputStream in = SchemaChecker.class.getResourceAsStream(name)) {
      if (in == null) {
        throw new IllegalArgumentException("no resource " + name);
      }
      return new SchemaChecker(REGISTRY.getSchema(in));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the faults, ordered by place. */
  public List<Fault> check(JsonNode tree) {
    return schema.validate(tree).stream()
        .map(SchemaChecker::fault)
        .distinct()
        .sorted(Comparator.comparing(Fault::place).thenComparing(Fault::message))
        .toList();
  }

  private static Fault fault(Error error) {
    String place = error.getInstanceLocation().toString();
    if (error.getProperty() != null) {
      place = place + "/" + error.getProperty().replace("~", "~0").replace("/", "~1");
    }
    return new Fault(place, error.getMessage());
  }
}
