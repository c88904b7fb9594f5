package org.ragworttide.document;

import static org.testng.Assert.assertFalse;

import com.fasterxml.jackson.core.JsonPointer;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/**
 * Tests that the reader returns a document or faults with places for any bytes, and never throws.
 */
public class DocumentReaderFuzzTest {
  private static final int ROUNDS_PER_SEED = 25;
  private static final String[] REPLACEMENT_VALUES = {
    "null",
    "-1",
    "0",
    "1e400",
    "true",
    "\"\"",
    "\"\\u0000\"",
    "[]",
    "{}",
    "[[[]]]",
    "9223372036854775808"
  };

  private final JsonMapper mapper = new JsonMapper();
  private byte[] demo;
  private JsonNode tree;

  /** Reads the demo's document, which the tests mutate. */
  @BeforeClass
  public void readDemo() throws IOException {
    Path root = Path.of(System.getProperty("project.root", ".."));
    demo = Files.readAllBytes(root.resolve("fakes/src/main/resources/demo/configuration.json"));
    tree =
        switch (DocumentReader.read(demo)) {
          case DocumentResult.Accepted accepted -> mapper.valueToTree(accepted.document());
          case DocumentResult.Refused refused -> throw new AssertionError(refused.faults());
        };
  }

  @Test
  public void mutatedBytesAreAcceptedOrRefused() {
    forEachSeed(random -> read(mutateBytes(random)));
  }

  @Test
  public void mutatedValuesAreAcceptedOrRefusedWithTheirPlace() {
    forEachSeed(
        random -> {
          JsonNode mutated = tree.deepCopy();
          mutateValue(mutated, random);
          read(mutated.toString().getBytes(StandardCharsets.UTF_8));
        });
  }

  private void forEachSeed(java.util.function.Consumer<Random> round) {
    long first = Long.getLong("seed", 1);
    for (long seed = first; seed < first + Integer.getInteger("seeds", 10); seed++) {
      Random random = new Random(seed);
      for (int i = 0; i < ROUNDS_PER_SEED; i++) {
        try {
          round.accept(random);
        } catch (RuntimeException | AssertionError e) {
          throw new AssertionError("seed " + seed + ", round " + i, e);
        }
      }
    }
  }

  private static void read(byte[] bytes) {
    if (DocumentReader.read(bytes) instanceof DocumentResult.Refused refused) {
      assertFalse(refused.faults().isEmpty());
      refused.faults().forEach(fault -> JsonPointer.compile(fault.place()));
    }
  }

  private byte[] mutateBytes(Random random) {
    byte[] bytes = demo.clone();
    for (int i = random.nextInt(4); i >= 0; i--) {
      bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
    }
    return random.nextInt(4) == 0 ? Arrays.copyOf(bytes, random.nextInt(bytes.length)) : bytes;
  }

  private void mutateValue(JsonNode root, Random random) {
    List<JsonNode> containers = new ArrayList<>();
    collectContainers(root, containers);
    JsonNode container = containers.get(random.nextInt(containers.size()));
    JsonNode value = randomValue(random);
    if (container instanceof ObjectNode object) {
      List<String> names = new ArrayList<>(List.of("unknown"));
      object.fieldNames().forEachRemaining(names::add);
      object.set(names.get(random.nextInt(names.size())), value);
    } else {
      ((ArrayNode) container).insert(random.nextInt(container.size() + 1), value);
    }
  }

  private JsonNode randomValue(Random random) {
    try {
      return mapper.readTree(REPLACEMENT_VALUES[random.nextInt(REPLACEMENT_VALUES.length)]);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private static void collectContainers(JsonNode node, List<JsonNode> containers) {
    if (node.isContainerNode()) {
      containers.add(node);
      node.forEach(child -> collectContainers(child, containers));
    }
  }
}
