package org.ragworttide.daemon.orders;

import com.codahale.metrics.MetricRegistry;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.orders.EngineOrder;
import org.ragworttide.coordination.orders.OrderPort;
import org.ragworttide.coordination.orders.OrderResult;
import org.ragworttide.coordination.time.TimerService;
import org.ragworttide.daemon.audit.AuditAction;
import org.ragworttide.daemon.audit.AuditTrail;
import org.ragworttide.daemon.log.EventLog;
import org.ragworttide.daemon.log.LogEvent;
import org.ragworttide.daemon.upstream.UpstreamAddresses;
import org.ragworttide.document.ConfigurationDocument;
import reactor.core.publisher.Mono;

/**
 * Sends the orders of the coordination library to engines and records each with its result.
 *
 * <p>Invariant: an order that waited longer than a bound for its connection, as after a pause of
 * the process, is not sent. Confined to the coordination thread.
 */
public final class OrderSender implements OrderPort {
  private static final long MAX_AGE_MILLIS = 1_500;

  private final TimerService time;
  private final Consumer<Runnable> loop;
  private final Supplier<EngineCalls> calls;
  private final AuditTrail audit;
  private final MetricRegistry metrics;
  private final String actor;
  private Map<UpstreamId, InetSocketAddress> addresses = Map.of();

  /**
   * Creates a sender without any engine.
   *
   * @param time the timer service
   * @param loop runs tasks on the coordination thread
   * @param calls sends over HTTP
   * @param audit records the orders and their results
   * @param metrics counts the orders by result
   * @param actor this daemon, as the audit trail names it
   */
  public OrderSender(
      TimerService time,
      Consumer<Runnable> loop,
      Supplier<EngineCalls> calls,
      AuditTrail audit,
      MetricRegistry metrics,
      String actor) {
    this.time = time;
    this.loop = loop;
    this.calls = calls;
    this.audit = audit;
    this.metrics = metrics;
    this.actor = actor;
  }

  /** Applies the engine addresses of a configuration. */
  public void apply(ConfigurationDocument document) {
    addresses = UpstreamAddresses.of(document);
  }

  @Override
  public void send(EngineOrder order, Consumer<OrderResult> result) {
    String content = describe(order);
    EventLog.log(LogEvent.ORDER_SENT, order.engine(), order.fencingNumber(), content);
    long decidedAtMillis = time.nowMillis();
    InetSocketAddress address = addresses.get(order.engine());
    Mono<OrderResult> call =
        address == null
            ? Mono.just(new OrderResult.NotSent("no address"))
            : calls
                .get()
                .send(address, order, () -> time.nowMillis() - decidedAtMillis < MAX_AGE_MILLIS);
    call.subscribe(
        orderResult ->
            loop.accept(
                () -> {
                  record(order, content, orderResult);
                  result.accept(orderResult);
                }));
  }

  private void record(EngineOrder order, String content, OrderResult result) {
    String outcome = outcome(result);
    metrics.counter("orders;outcome=" + outcome).inc();
    LogEvent event =
        result instanceof OrderResult.Accepted ? LogEvent.ORDER_TAKEN : LogEvent.ORDER_FAILED;
    EventLog.log(event, order.engine(), order.fencingNumber(), result.describe());
    audit.record(
        AuditAction.ENGINE_ORDERED, actor, order.engine().value(), content, result.describe());
  }

  private static String outcome(OrderResult result) {
    return switch (result) {
      case OrderResult.Accepted accepted -> "accepted";
      case OrderResult.Outdated old -> "old";
      case OrderResult.Refused refused -> "refused";
      case OrderResult.NotSent unsent -> "not-sent";
      case OrderResult.Lost lost -> "lost";
    };
  }

  private static String describe(EngineOrder order) {
    return "number %d, role %s, artifacts %s, fetch %s"
        .formatted(
            order.fencingNumber(),
            order.wanted().role(),
            order.wanted().artifacts(),
            order.fetch().map(Object::toString).orElse("nothing"));
  }
}
