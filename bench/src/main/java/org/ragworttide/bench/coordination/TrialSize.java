package org.ragworttide.bench.coordination;

import java.util.LinkedHashMap;
import java.util.Map;
import org.ragworttide.coordination.id.OrganisationId;

/**
 * How large a trial is; immutable.
 *
 * @param vms entry VMs
 * @param rates each organisation's rate a second
 * @param durationMillis simulated time that is measured
 */
public record TrialSize(int vms, Map<OrganisationId, Double> rates, int durationMillis) {

  /** Returns organisations of different sizes that send the given requests a second together. */
  public static TrialSize of(
      int vms, int organisations, double requestsPerSecond, int durationMillis) {
    double weights = 0;
    for (int i = 0; i < organisations; i++) {
      weights += weight(i);
    }
    Map<OrganisationId, Double> rates = new LinkedHashMap<>();
    for (int i = 0; i < organisations; i++) {
      double rate = Math.max(0.1, requestsPerSecond * weight(i) / weights / 0.8);
      rates.put(new OrganisationId("organisation-" + i), rate);
    }
    return new TrialSize(vms, rates, durationMillis);
  }

  private static double weight(int index) {
    return 1.0 / Math.pow(index + 3, 0.8);
  }
}
