package org.ragworttide.daemon.runtime;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.ragworttide.document.ConfigurationDocument;

/**
 * Holds the configuration in force and notifies listeners of each change.
 *
 * <p>Invariant: the version never decreases. Written on the coordination thread only, read by any
 * thread; listeners are called on the coordination thread in the order of their registration.
 */
public final class ConfigurationHolder {
  private final List<Listener> listeners = new ArrayList<>();
  private volatile ConfigurationDocument current;

  /** Returns the configuration in force, null as long as there is none. */
  public ConfigurationDocument current() {
    return current;
  }

  /** Registers a listener; may be called only before the first configuration is applied. */
  public void subscribe(Listener listener) {
    listeners.add(listener);
  }

  /** Puts a document in force if it is newer than the current one; returns whether it did. */
  boolean apply(ConfigurationDocument document) {
    ConfigurationDocument old = current;
    if (old != null && document.version() <= old.version()) {
      return false;
    }
    current = document;
    listeners.forEach(listener -> listener.changed(Optional.ofNullable(old), document));
    return true;
  }

  /** Listener for changes of the configuration in force. */
  @FunctionalInterface
  public interface Listener {

    /** Applies the change before it returns. */
    void changed(Optional<ConfigurationDocument> old, ConfigurationDocument now);
  }
}
