package org.ragworttide.bench.coordination;

import java.util.LinkedHashMap;
import java.util.Map;
import org.ragworttide.coordination.id.OrganisationId;

/**
 * Number of VMs, rates and duration of a trial; immutable.
 *
 * @param vms number of entry VMs
 * @param rates requests per second of each organisation
 * @param durationMillis simulated duration of the measurement
 */
public record TrialSize(int vms, Map<OrganisationId, Double> rates, int durationMillis) {

  /**
   * Returns a trial whose organisations differ in size and together send the given request rate.
   */
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
