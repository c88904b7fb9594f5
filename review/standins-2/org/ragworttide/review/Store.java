package org.ragworttide.review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The platform's store, which keeps its whole history and waits with a watch until there is an
 * event. While it is down, it closes all channels and each new one at once.
 */
final class Store implements AutoCloseable {
  private record Item(String value, long revision, long created) {}

  private record Event(String key, String json, long revision) {}

  private final Journal journal;
  private final ServerSocket listener;
  private final Set<Socket> channels = ConcurrentHashMap.newKeySet();
  private final Map<String, Item> items = new TreeMap<>();
  private final List<Event> events = new ArrayList<>();
  private long revision = 100;
  private volatile boolean down;

  Store(Journal journal, String ip) throws IOException {
    this.journal = journal;
    listener = new ServerSocket(0, 256, InetAddress.getByName(ip));
    Thread.ofVirtual().start(this::accept);
  }

  InetSocketAddress address() {
    return (InetSocketAddress) listener.getLocalSocketAddress();
  }

  /** Writes an item. */
  synchronized void put(String key, String value) {
    revision++;
    long created = items.containsKey(key) ? items.get(key).created() : revision;
    String encoded = Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
    items.put(key, new Item(encoded, revision, created));
    events.add(new Event(key, json(key, items.get(key)), revision));
    journal.add("store: %s written, revision %d: %s", key, revision, value);
    notifyAll();
  }

  /** Deletes an item. */
  synchronized void delete(String key) {
    if (items.remove(key) != null) {
      revision++;
      String json = "{\"key\":\"" + key + "\",\"revision\":" + revision + ",\"deleted\":true}";
      events.add(new Event(key, json, revision));
      journal.add("store: %s deleted, revision %d", key, revision);
      notifyAll();
    }
  }

  /** Takes the store down, or back with all that it has. */
  void setDown(boolean isDown) {
    journal.say("store: %s", isDown ? "down" : "back");
    down = isDown;
    if (isDown) {
      channels.forEach(Io::reset);
    }
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket channel = listener.accept();
        channels.add(channel);
        Thread.ofVirtual().start(() -> serve(channel));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket channel) {
    try (channel) {
      InputStream in = Io.buffered(channel);
      OutputStream out = channel.getOutputStream();
      for (Message call = Message.read(in); call != null && !down; call = Message.read(in)) {
        String body = answer(call.path());
        if (down) {
          break;
        }
        Io.write(
            out,
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                + body.length()
                + "\r\n\r\n"
                + body);
      }
      if (down) {
        Io.reset(channel);
      }
    } catch (IOException | InterruptedException e) {
      journal.add("store: channel ended, %s", e.getMessage());
    } finally {
      channels.remove(channel);
    }
  }

  private synchronized String answer(String path) throws InterruptedException {
    Map<String, String> query = query(path);
    String prefix = query.getOrDefault("pathPrefix", "");
    if (path.startsWith(Wire.name("range"))) {
      List<String> found = new ArrayList<>();
      items.forEach(
          (key, item) -> {
            if (key.startsWith(prefix) && key.compareTo(query.getOrDefault("after", "")) > 0) {
              found.add(json(key, item));
            }
          });
      return "{\"items\":["
          + String.join(",", found)
          + "],\"hasMore\":false,\"storeRevision\":"
          + revision
          + "}";
    }
    long after = Long.parseLong(query.get("after"));
    long untilNanos = System.nanoTime() + Long.parseLong(query.get("waitMs")) * 1_000_000;
    while (revision <= after && System.nanoTime() < untilNanos && !down) {
      wait(Math.max(1, Math.min(50, (untilNanos - System.nanoTime()) / 1_000_000)));
    }
    List<String> found =
        events.stream()
            .filter(event -> event.revision() > after && event.key().startsWith(prefix))
            .map(Event::json)
            .toList();
    return "{\"events\":[" + String.join(",", found) + "],\"storeRevision\":" + revision + "}";
  }

  private static String json(String key, Item item) {
    return String.format(
        "{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%d,\"created\":%d,\"lease\":0}",
        key, item.value(), item.revision(), item.created());
  }

  private static Map<String, String> query(String path) {
    Map<String, String> query = new HashMap<>();
    int mark = path.indexOf('?');
    if (mark >= 0) {
      for (String pair : path.substring(mark + 1).split("&")) {
        String[] parts = pair.split("=", 2);
        query.put(
            parts[0], parts.length == 2 ? URLDecoder.decode(parts[1], StandardCharsets.UTF_8) : "");
      }
    }
    return query;
  }

  @Override
  public void close() throws IOException {
    listener.close();
    channels.forEach(Io::reset);
  }
}
