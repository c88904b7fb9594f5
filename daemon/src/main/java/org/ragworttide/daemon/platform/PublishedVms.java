package org.ragworttide.daemon.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.id.ZoneId;
import org.ragworttide.coordination.membership.VmEntry;
import org.ragworttide.coordination.membership.VmList;
import org.ragworttide.coordination.membership.VmState;

/**
 * The platform's list of entry VMs as read, or the reason why it cannot be used.
 *
 * <p>Immutable, safe for use by any thread.
 */
public sealed interface PublishedVms {

  /**
   * A usable list.
   *
   * @param list the newest list
   * @param previous the list one version earlier, if the platform published it too
   */
  record Usable(VmList list, Optional<VmList> previous) implements PublishedVms {}

  /**
   * A list that is ignored.
   *
   * @param reason why it cannot be used
   */
  record Unusable(String reason) implements PublishedVms {}

  /** Reads a list in the platform's format. */
  static PublishedVms read(byte[] body) {
    try {
      JsonNode root = new ObjectMapper().readTree(body);
      long version = root.path("version").asLong();
      VmList list = new VmList(version, entries(root.path("vms")));
      if (list.vms().isEmpty()) {
        return new Unusable("the list is empty");
      }
      JsonNode earlier = root.path("previous");
      Optional<VmList> previous =
          version > 1 && earlier.isArray()
              ? Optional.of(new VmList(version - 1, entries(earlier)))
              : Optional.empty();
      return new Usable(list, previous);
    } catch (IOException | IllegalArgumentException e) {
      return new Unusable(String.valueOf(e.getMessage()));
    }
  }

  private static List<VmEntry> entries(JsonNode array) {
    List<VmEntry> entries = new ArrayList<>();
    for (JsonNode vm : array) {
      entries.add(
          new VmEntry(
              new VmId(vm.path("id").asText()),
              new ZoneId(vm.path("zone").asText()),
              VmState.valueOf(vm.path("state").asText()),
              address(vm.path("address").asText())));
    }
    return entries;
  }

  private static String address(String text) {
    int colon = text.lastIndexOf(':');
    if (colon <= 0) {
      throw new IllegalArgumentException("address without a port: " + text);
    }
    int port = Integer.parseInt(text.substring(colon + 1));
    if (port <= 0 || port > 0xffff) {
      throw new IllegalArgumentException("port out of range: " + text);
    }
    return text;
  }
}
