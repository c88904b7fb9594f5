package org.ragworttide.document;

import java.util.List;
import java.util.Optional;

/**
 * What operators want engines to be, for those engines that the system is to order.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param weightStore how fast weights may be fetched; null where no engine takes orders
 * @param engines the engines that take orders
 */
public record OrdersSection(WeightStore weightStore, List<Engine> engines) {
  static final OrdersSection NONE = new OrdersSection(null, List.of());

  /** Copies the engines. */
  public OrdersSection {
    engines = engines == null ? List.of() : List.copyOf(engines);
  }

  /** Returns the weight store's limit, if the document has one. */
  public Optional<WeightStore> store() {
    return Optional.ofNullable(weightStore);
  }

  /**
   * How fast all engines together may fetch weights.
   *
   * @param loadsPerSecond models and adapters a second
   * @param burst models and adapters at once
   */
  public record WeightStore(double loadsPerSecond, double burst) {}

  /** What an engine does with an order whose fencing number is old. */
  public enum Fencing {
    /** It refuses the order. */
    CHECKED,
    /** It follows the order. */
    IGNORED
  }

  /**
   * What one engine is to be.
   *
   * @param id the engine's name among the upstreams
   * @param role its role, by the engine's own word
   * @param fencing whether it refuses an old order
   * @param models models that are to be loaded
   * @param adapters adapters that are to be loaded
   */
  public record Engine(
      String id, String role, Fencing fencing, List<Weights> models, List<Weights> adapters) {

    /** Copies the lists. */
    public Engine {
      models = List.copyOf(models);
      adapters = List.copyOf(adapters);
    }
  }

  /**
   * A model or an adapter in the weight store.
   *
   * @param id its name, by which callers may ask for it
   * @param version its version
   */
  public record Weights(String id, String version) {}
}
