package org.ragworttide.daemon.metrics;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Sampling;
import com.codahale.metrics.Snapshot;

/**
 * Writes metrics in the text exposition format of common scrapers.
 *
 * <p>Invariant: the type of a metric is written once, before its values. Confined to one thread.
 */
public final class MetricsText {
  private final StringBuilder text = new StringBuilder();
  private String lastTypedId = "";

  private MetricsText() {}

  /** Returns all metrics of the registry as text. */
  public static String of(MetricRegistry metrics) {
    MetricsText text = new MetricsText();
    metrics.getCounters().forEach((name, counter) -> text.total(name, counter.getCount()));
    metrics.getMeters().forEach((name, meter) -> text.total(name, meter.getCount()));
    metrics.getGauges().forEach(text::gauge);
    metrics
        .getHistograms()
        .forEach(
            (name, histogram) ->
                text.summary(MetricName.of(name, ""), histogram, histogram.getCount()));
    metrics
        .getTimers()
        .forEach(
            (name, timer) -> text.summary(MetricName.of(name, "_nanos"), timer, timer.getCount()));
    return text.text.toString();
  }

  private void total(String name, long count) {
    line(MetricName.of(name, "_total"), "counter", count);
  }

  private void gauge(String name, Gauge<?> gauge) {
    if (gauge.getValue() instanceof Number number) {
      line(MetricName.of(name, ""), "gauge", number);
    }
  }

  private void summary(MetricName name, Sampling sampling, long count) {
    Snapshot snapshot = sampling.getSnapshot();
    type(name.id(), "summary");
    quantile(name.id(), "0.5", snapshot.getMedian());
    quantile(name.id(), "0.95", snapshot.get95thPercentile());
    quantile(name.id(), "0.99", snapshot.get99thPercentile());
    text.append(name.id()).append("_count ").append(count).append('\n');
  }

  private void quantile(String id, String quantile, double value) {
    text.append(id).append("{quantile=\"").append(quantile).append("\"} ");
    text.append(value).append('\n');
  }

  private void line(MetricName name, String type, Number value) {
    type(name.id(), type);
    text.append(name.id()).append(name.labels()).append(' ').append(value).append('\n');
  }

  private void type(String id, String type) {
    if (!id.equals(lastTypedId)) {
      lastTypedId = id;
      text.append("# TYPE ").append(id).append(' ').append(type).append('\n');
    }
  }
}
