package org.ragworttide.daemon.metrics;

import static org.testng.Assert.assertEquals;

import com.codahale.metrics.MetricRegistry;
import org.testng.annotations.Test;

/** Tests the text exposition format. */
public final class MetricsTextTest {

  @Test
  public void labelsAreQuotedAndTypesAreWrittenOnce() {
    MetricRegistry registry = new MetricRegistry();
    registry.counter("refusals;code=a\"b\\c").inc(2);
    registry.counter("refusals;code=x").inc();
    registry.counter("control.sent.bytes").inc(7);
    registry.gauge("up", () -> () -> 1);
    registry.gauge("text", () -> () -> "ignored");
    assertEquals(
        MetricsText.of(registry),
        """
        # TYPE ragworttide_control_sent_bytes_total counter
        ragworttide_control_sent_bytes_total 7
        # TYPE ragworttide_refusals_total counter
        ragworttide_refusals_total{code="a\\"b\\\\c"} 2
        ragworttide_refusals_total{code="x"} 1
        # TYPE ragworttide_up gauge
        ragworttide_up 1
        """);
  }
}
