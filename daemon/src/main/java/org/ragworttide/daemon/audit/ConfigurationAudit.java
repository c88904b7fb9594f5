package org.ragworttide.daemon.audit;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.ragworttide.document.ConfigurationDocument;
import org.ragworttide.document.ConfigurationDocument.Key;

/**
 * Records the changes between configuration versions in the audit trail.
 *
 * <p>Invariant: keys appear only as a prefix of their digest. Stateless apart from the trail; safe
 * for use by any thread.
 */
public final class ConfigurationAudit {
  private static final int DIGEST_PREFIX_CHARS = 12;

  private final AuditTrail trail;

  /** Creates an audit that writes to the trail. */
  public ConfigurationAudit(AuditTrail trail) {
    this.trail = trail;
  }

  /** Records the changes between two versions. */
  public void recordChanges(Optional<ConfigurationDocument> old, ConfigurationDocument now) {
    String actor = "configuration " + now.version();
    String before = old.map(document -> Long.toString(document.version())).orElse("");
    trail.record(
        AuditAction.CONFIGURATION_APPLIED, actor, "fleet", before, Long.toString(now.version()));
    old.ifPresent(document -> compare(document, now, actor));
  }

  private void compare(ConfigurationDocument old, ConfigurationDocument now, String actor) {
    recordDifferences(
        AuditAction.ZONE_CHANGED,
        actor,
        index(old.zones(), zone -> zone.id(), zone -> zone.service().name()),
        index(now.zones(), zone -> zone.id(), zone -> zone.service().name()));
    recordDifferences(
        AuditAction.UPSTREAM_CHANGED,
        actor,
        index(old.upstreams(), upstream -> upstream.id(), upstream -> upstream.service().name()),
        index(now.upstreams(), upstream -> upstream.id(), upstream -> upstream.service().name()));
    recordDifferences(AuditAction.RATE_CHANGED, actor, rates(old), rates(now));
    compareKeys(validKeys(old), validKeys(now), actor);
  }

  private void compareKeys(Map<String, String> old, Map<String, String> now, String actor) {
    old.forEach(
        (digest, organisation) -> {
          if (!now.containsKey(digest)) {
            trail.record(AuditAction.KEY_WITHDRAWN, actor, organisation, digest, "");
          }
        });
    now.forEach(
        (digest, organisation) -> {
          if (!old.containsKey(digest)) {
            trail.record(AuditAction.KEY_GIVEN, actor, organisation, "", digest);
          }
        });
  }

  private void recordDifferences(
      AuditAction action, String actor, Map<String, String> old, Map<String, String> now) {
    Map<String, String> all = new HashMap<>(old);
    all.putAll(now);
    for (String subject : all.keySet().stream().sorted().toList()) {
      String from = old.getOrDefault(subject, "");
      String to = now.getOrDefault(subject, "");
      if (!from.equals(to)) {
        trail.record(action, actor, subject, from, to);
      }
    }
  }

  private static Map<String, String> rates(ConfigurationDocument document) {
    return index(
        document.organisations(),
        organisation -> organisation.id(),
        organisation -> organisation.ratePerSecond() + "/s, burst " + organisation.burst());
  }

  private static Map<String, String> validKeys(ConfigurationDocument document) {
    List<Key> valid = document.keys().stream().filter(key -> !key.withdrawn()).toList();
    return index(
        valid, key -> key.sha256().substring(0, DIGEST_PREFIX_CHARS), key -> key.organisation());
  }

  private static <T> Map<String, String> index(
      List<T> items, Function<T, String> name, Function<T, String> value) {
    Map<String, String> index = new HashMap<>();
    items.forEach(item -> index.put(name.apply(item), value.apply(item)));
    return index;
  }
}
