package org.ragworttide.coordination.feed;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.BiPredicate;
import org.ragworttide.coordination.time.ManualTimerService;

/**
 * Simulated fleet of VMs that pass the store's changes on, with a store and links that fail.
 *
 * <p>Invariants checked at each change: no VM applies an older version of a key after a newer one;
 * after the store has returned from a copy, this holds for the configuration. Confined to one
 * thread.
 */
final class FeedFleet {
  static final int ZONES = 5;

  private static final long LINK_MILLIS = 2;
  private static final long STORE_MILLIS = 4;
  private static final long WATCH_MILLIS = 1_000;
  private static final long WATCH_TIMEOUT_MILLIS = 1_500;
  private static final long BATCHING_MILLIS = 200;
  private static final long STATEMENT_MILLIS = 150;

  /** Statements that a VM sends within its byte budget in a period. */
  private static final int STATEMENTS = 2;

  /** How the store treats a VM. */
  enum StoreState {
    SERVES,
    REFUSES,
    SILENT
  }

  final ManualTimerService time = new ManualTimerService();
  final List<Vm> vms = new ArrayList<>();
  private final Random random;
  private final List<Change> history = new ArrayList<>();
  private BiPredicate<Vm, Vm> link = (from, to) -> true;
  private long era = 1;
  private long revision;
  private long writes;
  private long calls;

  /** A copy of the store, from which it can return. */
  record Copy(long revision, List<Change> items) {}

  FeedFleet(int size, long seed) {
    random = new Random(seed);
    change("configuration");
    for (int i = 0; i < size; i++) {
      vms.add(new Vm(i));
    }
    vms.forEach(vm -> time.after(random.nextInt(300), vm::start));
  }

  /** Writes a new version of an item and returns its position. */
  StorePosition change(String key) {
    writes++;
    return write(key, NumberedItems.value(writes));
  }

  /** Writes an item and returns its position. */
  StorePosition write(String key, byte[] value) {
    revision++;
    history.removeIf(old -> old.key().equals(key));
    history.add(Change.put(key, revision, value));
    return new StorePosition(era, revision);
  }

  Copy copy() {
    return new Copy(revision, List.copyOf(history));
  }

  /** Makes the store return from a copy, in a new era. */
  void restore(Copy copy) {
    era++;
    revision = copy.revision();
    history.clear();
    history.addAll(copy.items());
  }

  private boolean isBehind(StorePosition known) {
    return known.era() != era || revision > known.revision();
  }

  /** Sets which VMs can send to which. */
  void setLink(BiPredicate<Vm, Vm> canSend) {
    link = canSend;
  }

  void advance(long millis) {
    time.advance(millis);
  }

  /** Returns the calls to the store since the last call of this method. */
  long takeCalls() {
    long taken = calls;
    calls = 0;
    return taken;
  }

  /** Advances until all given VMs know the revision; returns the milliseconds that it took. */
  long millisUntilKnown(StorePosition wanted, List<Vm> by, long maxMillis) {
    for (long waited = 0; waited <= maxMillis; waited += 10) {
      if (by.stream().noneMatch(vm -> wanted.isAfter(vm.log.position()))) {
        return waited;
      }
      advance(10);
    }
    List<Integer> behind =
        by.stream().filter(vm -> wanted.isAfter(vm.log.position())).map(vm -> vm.index).toList();
    throw new AssertionError(behind + " do not know " + wanted + " in " + maxMillis);
  }

  /** Returns the VMs that watch the store. */
  List<Vm> readers() {
    return running().stream().filter(vm -> vm.controller.isWatching()).toList();
  }

  /** Returns the VMs that run. */
  List<Vm> running() {
    return vms.stream().filter(vm -> vm.running).toList();
  }

  /** One VM. Confined to one thread. */
  final class Vm implements FeedPort {
    final int index;
    final FeedMember member;
    final Set<Vm> followers = new HashSet<>();
    final Map<String, Change> applied = new HashMap<>();
    private final Map<Vm, Long> sentAdditions = new HashMap<>();
    ChangeLog log = new ChangeLog(new NumberedItems());
    FeedController controller;
    StoreState store = StoreState.SERVES;
    boolean running;
    private int incarnation;
    private int connection;
    private boolean watching;
    private boolean busy;

    private Vm(int index) {
      this.index = index;
      this.member = new FeedMember(index + 1, index % ZONES);
    }

    int zone() {
      return member.zoneKey();
    }

    /** Starts a process that lists the store and knows the other VMs half a second later. */
    void start() {
      running = true;
      incarnation++;
      log = new ChangeLog(new NumberedItems());
      applied.clear();
      sentAdditions.clear();
      busy = false;
      watching = false;
      controller = new FeedController(member, this, time);
      int run = incarnation;
      readStore(run);
      time.after(
          100,
          () -> {
            if (run == incarnation) {
              controller.start();
              time.every(FeedController.HEARTBEAT_MILLIS, () -> beat(run));
              time.every(STATEMENT_MILLIS, () -> sendStatements(run));
            }
          });
      time.after(
          500,
          () -> {
            if (run == incarnation) {
              controller.setMembers(vms.stream().map(vm -> vm.member).toList());
            }
          });
    }

    /** Ends the process; its connections are reset. */
    void kill() {
      running = false;
      incarnation++;
      List.copyOf(followers).forEach(vm -> vm.disconnected(this));
      followers.clear();
      vms.forEach(vm -> vm.followers.remove(this));
    }

    /** Takes the power from the VM: its connections become silent. */
    void powerOff() {
      running = false;
      incarnation++;
      followers.clear();
      vms.forEach(vm -> vm.followers.remove(this));
    }

    private void disconnected(Vm parent) {
      if (running) {
        controller.recordDisconnect(parent.member);
      }
    }

    private void readStore(int run) {
      busy = true;
      calls++;
      StorePosition from = log.position();
      if (store == StoreState.REFUSES) {
        time.after(STORE_MILLIS, () -> failed(run));
      } else if (store == StoreState.SILENT) {
        time.after(500, () -> failed(run));
      } else {
        time.after(STORE_MILLIS, () -> answered(run, from));
      }
    }

    private void watchStore(int run, long sinceMillis) {
      if (run != incarnation) {
        return;
      }
      long waitedMillis = time.nowMillis() - sinceMillis;
      if (store != StoreState.SERVES) {
        long leftMillis = store == StoreState.SILENT ? WATCH_TIMEOUT_MILLIS - waitedMillis : 0;
        time.after(Math.max(0, leftMillis), () -> failed(run));
      } else if (isBehind(log.position()) || waitedMillis >= WATCH_MILLIS) {
        answered(run, log.position());
      } else {
        time.after(STORE_MILLIS, () -> watchStore(run, sinceMillis));
      }
    }

    private void answered(int run, StorePosition from) {
      if (run != incarnation) {
        return;
      }
      boolean isNew = isBehind(from);
      boolean isListing = from.isNone() || from.era() != era;
      apply(
          isListing
              ? ChangeBatch.listing(new StorePosition(era, revision), history, 0)
              : ChangeBatch.changes(
                  from,
                  revision,
                  history.stream().filter(change -> change.revision() > from.revision()).toList()));
      controller.recordStoreAnswer();
      time.after(isNew ? BATCHING_MILLIS : 0, () -> readNext(run));
    }

    private void failed(int run) {
      if (run == incarnation) {
        controller.recordStoreFailure();
        time.after(100 + random.nextInt(300), () -> readNext(run));
      }
    }

    private void readNext(int run) {
      if (run != incarnation) {
        return;
      }
      busy = false;
      if (log.position().isNone()) {
        readStore(run);
      } else if (watching) {
        busy = true;
        calls++;
        watchStore(run, time.nowMillis());
      }
    }

    private void apply(ChangeBatch batch) {
      long additions = log.retainedAdditions();
      List<Change> changes = log.apply(batch, time.nowMillis());
      controller.recordKnownPosition(log.position());
      deliver(changes, log.retainedAdditions() > additions);
    }

    private void retain(List<RetainedChange> received) {
      long additions = log.retainedAdditions();
      List<Change> changes = log.retain(received, time.nowMillis());
      deliver(changes, log.retainedAdditions() > additions);
    }

    private void deliver(List<Change> changes, boolean hasRetainedMore) {
      for (Change change : changes) {
        Change before = applied.put(change.key(), change);
        boolean isOrdered = era == 1 || change.key().equals(NumberedItems.CONFIGURATION);
        if (before != null && isOrdered && number(before) >= number(change)) {
          throw new AssertionError(index + " went back from " + before + " to " + change);
        }
      }
      if (!changes.isEmpty() || hasRetainedMore) {
        sendToFollowers(incarnation);
      }
    }

    private static long number(Change change) {
      return NumberedItems.number(change.value().orElseThrow());
    }

    /** Returns the version of the configuration that is in force, 0 if there is none. */
    long configuration() {
      Change change = applied.get(NumberedItems.CONFIGURATION);
      return change == null ? 0 : number(change);
    }

    private void beat(int run) {
      if (run == incarnation) {
        deliver(log.expireRetained(time.nowMillis()), false);
        sendToFollowers(run);
      }
    }

    private void sendToFollowers(int run) {
      if (run == incarnation) {
        List.copyOf(followers).forEach(this::sendTo);
      }
    }

    private void sendTo(Vm follower) {
      int receiving = follower.connection;
      ChangeBatch batch = log.changesAfter(follower.log.position(), time.nowMillis());
      Long sent = sentAdditions.put(follower, log.retainedAdditions());
      boolean hasAll = sent != null && sent == log.retainedAdditions();
      List<RetainedChange> retained = hasAll ? List.of() : log.retained(time.nowMillis());
      FeedStatus status = controller.status();
      time.after(
          LINK_MILLIS,
          () -> {
            if (follower.running && follower.connection == receiving && link.test(this, follower)) {
              follower.apply(batch);
              follower.retain(retained);
              follower.controller.recordMessage(member, batch.position(), status);
            }
          });
    }

    private void sendStatements(int run) {
      for (int i = 0; run == incarnation && i < STATEMENTS; i++) {
        Vm other = vms.get(random.nextInt(vms.size()));
        StorePosition known = log.position();
        time.after(
            LINK_MILLIS,
            () -> {
              if (other.running && link.test(this, other)) {
                other.controller.recordPeerPosition(known);
              }
            });
      }
    }

    @Override
    public void follow(FeedMember parent) {
      unfollow();
      int connecting = connection;
      Vm followed = vms.get((int) parent.address() - 1);
      time.after(
          2 * LINK_MILLIS,
          () -> {
            boolean connects = link.test(this, followed) && link.test(followed, this);
            if (connecting == connection && running && connects) {
              if (followed.running) {
                followed.followers.add(this);
                followed.sentAdditions.remove(this);
                followed.sendTo(this);
              } else {
                disconnected(followed);
              }
            }
          });
    }

    @Override
    public void unfollow() {
      connection++;
      vms.forEach(vm -> vm.followers.remove(this));
    }

    @Override
    public void setWatching(boolean wanted) {
      watching = wanted;
      if (watching && !busy) {
        readStore(incarnation);
      }
    }

    @Override
    public void catchUp() {
      if (!busy) {
        readStore(incarnation);
      }
    }

    @Override
    public void announceStatus() {
      sendToFollowers(incarnation);
    }
  }
}
