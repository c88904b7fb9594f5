import java.io.IOException;
import java.io.InputStream;
import java.util.Properties;

/** The platform's names; in texts of the stand-ins, "@-" stands for the prefix of its headers. */
final class Names {
  private static final Properties NAMES = new Properties();

  static {
    try (InputStream in = Names.class.getResourceAsStream("names.properties")) {
      NAMES.load(in);
    } catch (IOException e) {
      throw new IllegalStateException("names.properties cannot be read", e);
    }
  }

  private Names() {}

  static String of(String name) {
    return NAMES.getProperty(name);
  }

  static String fill(String text) {
    return text.replace("@-", of("headers"));
  }
}
