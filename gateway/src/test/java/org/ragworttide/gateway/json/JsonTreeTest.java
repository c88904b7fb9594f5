package org.ragworttide.gateway.json;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.Test;

/** Tests that JSON is read into the same tree that the object mapper builds. */
public class JsonTreeTest {

  private static JsonNode read(String text) throws IOException {
    return JsonTree.read(text.getBytes(StandardCharsets.UTF_8));
  }

  @Test
  public void treeEqualsThatOfTheObjectMapper() throws IOException {
    String text =
        "{\"a\":[1,2.5,-3000000000,123456789012345678901,true,false,null,\"\\u00e9\"],\"b\":{}}";
    assertEquals(read(text), new ObjectMapper().readTree(text));
  }

  @Test
  public void commentsAreSkipped() throws IOException {
    assertEquals(read("// one\n{/* two */\"a\":1}").path("a").asInt(), 1);
  }

  @Test
  public void emptyTextIsMissingNode() throws IOException {
    assertTrue(read("").isMissingNode());
  }

  @Test
  public void malformedTextIsRefused() {
    assertThrows(IOException.class, () -> read("{\"a\":"));
    assertThrows(IOException.class, () -> read("{\"a\" 1}"));
    assertThrows(IOException.class, () -> JsonTree.read(new byte[] {(byte) 0xff, 0, 7}));
  }

  @Test
  public void deeplyNestedTextIsRefused() {
    assertThrows(IOException.class, () -> read("[".repeat(100_000)));
  }
}
