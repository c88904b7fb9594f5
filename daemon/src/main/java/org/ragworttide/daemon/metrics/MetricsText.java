package org.ragworttide.daemon.metrics;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Sampling;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;

/** Writes metrics in the text form that common scrapers read; stateless. */
public final class MetricsText {
  private static final String PREFIX = "ragworttide_";

  private MetricsText() {}

  /** Returns all metrics of the registry as text. */
  public static String of(MetricRegistry metrics) {
    StringBuilder text = new StringBuilder();
    metrics.getCounters().forEach((name, counter) -> counter(text, name, counter));
    metrics.getMeters().forEach((name, meter) -> meter(text, name, meter));
    metrics.getGauges().forEach((name, gauge) -> gauge(text, name, gauge));
    metrics.getHistograms().forEach((name, histogram) -> histogram(text, name, histogram));
    metrics.getTimers().forEach((name, timer) -> timer(text, name, timer));
    return text.toString();
  }

  private static void counter(StringBuilder text, String name, Counter counter) {
    line(text, name + "_total", "counter", counter.getCount());
  }

  private static void meter(StringBuilder text, String name, Meter meter) {
    line(text, name + "_total", "counter", meter.getCount());
  }

  private static void gauge(StringBuilder text, String name, Gauge<?> gauge) {
    if (gauge.getValue() instanceof Number number) {
      line(text, name, "gauge", number);
    }
  }

  private static void histogram(StringBuilder text, String name, Histogram histogram) {
    summary(text, name, histogram, histogram.getCount());
  }

  private static void timer(StringBuilder text, String name, Timer timer) {
    summary(text, name + "_nanos", timer, timer.getCount());
  }

  private static void summary(StringBuilder text, String name, Sampling sampling, long count) {
    Snapshot snapshot = sampling.getSnapshot();
    String id = id(name);
    text.append("# TYPE ").append(id).append(" summary\n");
    quantile(text, id, "0.5", snapshot.getMedian());
    quantile(text, id, "0.95", snapshot.get95thPercentile());
    quantile(text, id, "0.99", snapshot.get99thPercentile());
    text.append(id).append("_count ").append(count).append('\n');
  }

  private static void quantile(StringBuilder text, String id, String quantile, double value) {
    text.append(id).append("{quantile=\"").append(quantile).append("\"} ");
    text.append(value).append('\n');
  }

  private static void line(StringBuilder text, String name, String type, Number value) {
    String id = id(name);
    text.append("# TYPE ").append(id).append(' ').append(type).append('\n');
    text.append(id).append(' ').append(value).append('\n');
  }

  private static String id(String name) {
    return PREFIX + name.replaceAll("[^A-Za-z0-9_]", "_");
  }
}
