package org.ragworttide.document;

import java.util.List;
import java.util.Optional;

/**
 * Desired state of the engines that the fleet sends orders to, as operators configure it.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param weightStore rate limit on fetching weights; null if no engine accepts orders
 * @param engines the engines that accept orders
 */
public record OrdersSection(WeightStore weightStore, List<Engine> engines) {
  static final OrdersSection NONE = new OrdersSection(null, List.of());

  /** Copies the engines; an absent list becomes empty. */
  public OrdersSection {
    engines = engines == null ? List.of() : List.copyOf(engines);
  }

  /** Returns the weight store's rate limit, if the document has one. */
  public Optional<WeightStore> store() {
    return Optional.ofNullable(weightStore);
  }

  /**
   * Rate limit on fetching weights, for all engines together.
   *
   * @param loadsPerSecond models and adapters per second
   * @param burst models and adapters that may be fetched at once
   */
  public record WeightStore(double loadsPerSecond, double burst) {}

  /** Whether an engine checks the fencing numbers of its orders. */
  public enum Fencing {
    /** The engine refuses an order with an old number. */
    CHECKED,
    /** The engine executes every order. */
    IGNORED
  }

  /**
   * Desired state of one engine.
   *
   * @param id the engine's id among the upstreams
   * @param role its role, a name that the engine defines
   * @param fencing whether it refuses an order with an old fencing number
   * @param models models that it must have loaded
   * @param adapters adapters that it must have loaded
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
   * @param id its name, which callers may request
   * @param version its version
   */
  public record Weights(String id, String version) {}
}
