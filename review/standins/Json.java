import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Writes JSON; numbers, booleans, maps, lists and texts only. */
final class Json {
  private Json() {}

  static Map<String, Object> map(Object... pairs) {
    Map<String, Object> map = new LinkedHashMap<>();
    for (int i = 0; i < pairs.length; i += 2) {
      map.put((String) pairs[i], pairs[i + 1]);
    }
    return map;
  }

  static List<Object> list(Object... items) {
    return new ArrayList<>(List.of(items));
  }

  static String text(Object value) {
    StringBuilder out = new StringBuilder();
    write(out, value);
    return out.toString();
  }

  private static void write(StringBuilder out, Object value) {
    if (value instanceof Map<?, ?> map) {
      out.append('{');
      boolean first = true;
      for (Map.Entry<?, ?> entry : map.entrySet()) {
        out.append(first ? "" : ",");
        first = false;
        write(out, entry.getKey());
        out.append(':');
        write(out, entry.getValue());
      }
      out.append('}');
    } else if (value instanceof List<?> list) {
      out.append('[');
      for (int i = 0; i < list.size(); i++) {
        out.append(i == 0 ? "" : ",");
        write(out, list.get(i));
      }
      out.append(']');
    } else if (value instanceof Number || value instanceof Boolean) {
      out.append(value);
    } else {
      out.append('"').append(String.valueOf(value).replace("\\", "\\\\").replace("\"", "\\\"")).append('"');
    }
  }
}
