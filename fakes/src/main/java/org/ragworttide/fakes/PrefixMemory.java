package org.ragworttide.fakes;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The chats whose prompt prefixes a stand-in engine still holds, in memory of limited size.
 *
 * <p>Invariant: never holds more chats than its size; the least recently used one goes first. Safe
 * for use by any thread.
 */
final class PrefixMemory {
  private final Map<String, Boolean> chats;

  PrefixMemory(int maxChats) {
    chats =
        new LinkedHashMap<>(16, 0.75f, true) {
          @Override
          protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > maxChats;
          }
        };
  }

  /** Keeps the chat and tells whether it was held already. */
  synchronized boolean touch(String chat) {
    return chats.put(chat, true) != null;
  }

  synchronized void clear() {
    chats.clear();
  }
}
