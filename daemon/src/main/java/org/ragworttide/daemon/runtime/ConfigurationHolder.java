package org.ragworttide.daemon.runtime;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.ragworttide.document.ConfigurationDocument;

/**
 * Holds the configuration in force and tells parts of each change.
 *
 * <p>Invariant: the version never goes back. Written on the coordination thread only, read by any
 * thread; listeners are called on the coordination thread in the order of their registration.
 */
public final class ConfigurationHolder {
  private final List<Listener> listeners = new ArrayList<>();
  private volatile ConfigurationDocument current;

  /** Returns the configuration in force, null as long as there is none. */
  public ConfigurationDocument current() {
    return current;
  }

  /** Registers a part; only before the first configuration. */
  public void subscribe(Listener listener) {
    listeners.add(listener);
  }

  /** Puts a document in force, unless it is not newer, and tells whether it did. */
  boolean apply(ConfigurationDocument document) {
    ConfigurationDocument old = current;
    if (old != null && document.version() <= old.version()) {
      return false;
    }
    current = document;
    listeners.forEach(listener -> listener.changed(Optional.ofNullable(old), document));
    return true;
  }

  /** Is told of each change of the configuration in force. */
  @FunctionalInterface
  public interface Listener {

    /** Applies the change at once. */
    void changed(Optional<ConfigurationDocument> old, ConfigurationDocument now);
  }
}
