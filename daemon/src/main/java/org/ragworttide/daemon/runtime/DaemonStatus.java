package org.ragworttide.daemon.runtime;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.ragworttide.coordination.Coordinator;
import org.ragworttide.coordination.id.Incarnation;
import org.ragworttide.coordination.membership.VmEntry;
import org.ragworttide.coordination.membership.VmList;
import org.ragworttide.coordination.orders.PendingOrder;
import org.ragworttide.daemon.audit.AuditAction;
import org.ragworttide.daemon.audit.AuditTrail;
import org.ragworttide.daemon.log.EventLog;
import org.ragworttide.daemon.log.LogEvent;
import org.ragworttide.document.ConfigurationDocument;
import org.ragworttide.document.settings.DaemonSettings;

/**
 * Snapshot of the daemon's state for operators, refreshed periodically on the coordination thread.
 *
 * <p>Invariant: a draining daemon is never ready. Refreshed on the coordination thread, read by any
 * thread.
 */
final class DaemonStatus {
  static final long REFRESH_MILLIS = 100;

  private final DaemonSettings settings;
  private final Incarnation incarnation;
  private final Coordinator coordinator;
  private final ConfigurationHolder configuration;
  private final BooleanSupplier draining;
  private final AuditTrail audit;
  private volatile Map<String, Object> sections = Map.of();
  private volatile boolean converged;
  private volatile int pendingOrders;
  private long listVersion;

  DaemonStatus(
      DaemonSettings settings,
      Incarnation incarnation,
      Coordinator coordinator,
      ConfigurationHolder configuration,
      BooleanSupplier draining,
      AuditTrail audit) {
    this.settings = settings;
    this.incarnation = incarnation;
    this.coordinator = coordinator;
    this.configuration = configuration;
    this.draining = draining;
    this.audit = audit;
  }

  boolean isReady() {
    return converged && !draining.getAsBoolean();
  }

  Map<String, Object> sections() {
    return sections;
  }

  int pendingOrders() {
    return pendingOrders;
  }

  void refresh() {
    ConfigurationDocument document = configuration.current();
    boolean ready = document != null && coordinator.versions().isReady();
    if (ready && !converged) {
      EventLog.log(LogEvent.READY, document.version());
    }
    converged = ready;
    coordinator.membership().list().ifPresent(this::recordListVersion);
    Map<String, Object> next = new LinkedHashMap<>();
    next.put("vm", settings.vm().value());
    next.put("zone", settings.zone().value());
    next.put("fleet", settings.fleet());
    next.put("incarnation", incarnation.toString());
    next.put("ready", isReady());
    next.put("draining", draining.getAsBoolean());
    next.put("configurationVersion", document == null ? 0 : document.version());
    next.put("configurationReader", coordinator.versions().isReader());
    next.put("vmListVersion", coordinator.membership().list().map(VmList::version).orElse(0L));
    next.put("vms", coordinator.membership().list().map(this::vms).orElse(List.of()));
    next.put("quarantined", coordinator.quarantine().size());
    if (coordinator.isConfigured()) {
      next.put("leases", coordinator.leases().owned().size());
      next.put("claims", coordinator.claims().claimsKept());
      List<PendingOrder> pending = coordinator.orders().pending();
      pendingOrders = pending.size();
      next.put("pendingOrders", pending.stream().map(DaemonStatus::pendingOrder).toList());
    }
    sections = next;
  }

  private void recordListVersion(VmList list) {
    if (list.version() != listVersion) {
      EventLog.log(LogEvent.VM_LIST_APPLIED, list.version(), list.vms().size());
      audit.record(
          AuditAction.VM_LIST_APPLIED,
          "platform",
          "fleet",
          listVersion == 0 ? "" : Long.toString(listVersion),
          Long.toString(list.version()));
      listVersion = list.version();
    }
  }

  private List<Map<String, Object>> vms(VmList list) {
    return list.vms().stream().map(this::vm).toList();
  }

  private static Map<String, Object> pendingOrder(PendingOrder order) {
    Map<String, Object> pending = new LinkedHashMap<>();
    pending.put("engine", order.engine().value());
    pending.put("reason", order.reason().name());
    pending.put("ordersSent", order.orders());
    pending.put("lastResult", order.lastResult());
    return pending;
  }

  private Map<String, Object> vm(VmEntry entry) {
    Map<String, Object> vm = new LinkedHashMap<>();
    vm.put("id", entry.id().value());
    vm.put("zone", entry.zone().value());
    vm.put("state", entry.state().name());
    vm.put("address", entry.address());
    vm.put("suspected", coordinator.membership().isSuspected(entry.id()));
    vm.put(
        "incarnation",
        coordinator.membership().incarnationOf(entry.id()).map(Incarnation::toString).orElse(""));
    return vm;
  }
}
