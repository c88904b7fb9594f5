package org.ragworttide.coordination.feed;

import java.nio.charset.StandardCharsets;
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
 * <p>Invariant checked at each change: no VM applies an older version of a key after a newer one.
 * Confined to one thread.
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
  private long revision;
  private long calls;

  FeedFleet(int size, long seed) {
    random = new Random(seed);
    change("configuration");
    for (int i = 0; i < size; i++) {
      vms.add(new Vm(i));
    }
    vms.forEach(vm -> time.after(random.nextInt(300), vm::start));
  }

  /** Writes a new version of an item and returns its revision. */
  long change(String key) {
    revision++;
    byte[] value = Long.toString(revision).getBytes(StandardCharsets.UTF_8);
    history.removeIf(old -> old.key().equals(key));
    history.add(Change.put(key, revision, value));
    return revision;
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
  long millisUntilKnown(long wanted, List<Vm> by, long maxMillis) {
    for (long waited = 0; waited <= maxMillis; waited += 10) {
      if (by.stream().allMatch(vm -> vm.log.revision() >= wanted)) {
        return waited;
      }
      advance(10);
    }
    List<Integer> behind =
        by.stream().filter(vm -> vm.log.revision() < wanted).map(vm -> vm.index).toList();
    throw new AssertionError(behind + " do not know revision " + wanted + " in " + maxMillis);
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
    final Map<String, Long> applied = new HashMap<>();
    ChangeLog log = new ChangeLog();
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
      log = new ChangeLog();
      applied.clear();
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
              time.every(FeedController.HEARTBEAT_MILLIS, () -> sendToFollowers(run));
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
      long from = log.revision();
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
      } else if (revision > log.revision() || waitedMillis >= WATCH_MILLIS) {
        answered(run, log.revision());
      } else {
        time.after(STORE_MILLIS, () -> watchStore(run, sinceMillis));
      }
    }

    private void answered(int run, long from) {
      if (run != incarnation) {
        return;
      }
      boolean isNew = revision > from;
      apply(
          from == 0
              ? ChangeBatch.listing(revision, history, 0)
              : ChangeBatch.changes(
                  from,
                  revision,
                  history.stream().filter(change -> change.revision() > from).toList()));
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
      if (log.revision() == 0) {
        readStore(run);
      } else if (watching) {
        busy = true;
        calls++;
        watchStore(run, time.nowMillis());
      }
    }

    private void apply(ChangeBatch batch) {
      List<Change> changes = log.apply(batch, time.nowMillis());
      for (Change change : changes) {
        Long before = applied.put(change.key(), change.revision());
        if (before != null && before >= change.revision()) {
          throw new AssertionError(index + " went back from " + before + " to " + change);
        }
      }
      controller.recordKnownRevision(log.revision());
      if (!changes.isEmpty()) {
        sendToFollowers(incarnation);
      }
    }

    private void sendToFollowers(int run) {
      if (run == incarnation) {
        List.copyOf(followers).forEach(this::sendTo);
      }
    }

    private void sendTo(Vm follower) {
      int receiving = follower.connection;
      ChangeBatch batch = log.changesAfter(follower.log.revision(), time.nowMillis());
      FeedStatus status = controller.status();
      time.after(
          LINK_MILLIS,
          () -> {
            if (follower.running && follower.connection == receiving && link.test(this, follower)) {
              follower.apply(batch);
              follower.controller.recordMessage(member, status);
            }
          });
    }

    private void sendStatements(int run) {
      for (int i = 0; run == incarnation && i < STATEMENTS; i++) {
        Vm other = vms.get(random.nextInt(vms.size()));
        long known = log.revision();
        time.after(
            LINK_MILLIS,
            () -> {
              if (other.running && link.test(this, other)) {
                other.controller.recordPeerRevision(known);
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
