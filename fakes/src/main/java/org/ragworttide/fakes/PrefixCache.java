package org.ragworttide.fakes;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Least-recently-used cache of the chats whose prompt prefixes a fake engine holds.
 *
 * <p>Invariant: never holds more chats than its capacity; evicts the least recently used one. Safe
 * for use by any thread.
 */
final class PrefixCache {
  private final Map<String, Boolean> chats;

  PrefixCache(int maxChats) {
    chats =
        new LinkedHashMap<>(16, 0.75f, true) {
          @Override
          protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > maxChats;
          }
        };
  }

  /** Adds a chat and returns whether the cache already held it. */
  synchronized boolean add(String chat) {
    return chats.put(chat, true) != null;
  }

  synchronized void clear() {
    chats.clear();
  }
}
