package org.ragworttide.coordination.feed;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.ragworttide.coordination.time.TimerService;

/**
 * Decides whether a VM reads the store itself or receives its changes from another VM.
 *
 * <p>Answers these patterns: a fleet of hundreds of VMs of which each would watch the store; a VM
 * that passes changes on and dies, freezes, is cut off from the store or is refused by it while
 * others are served; a VM that the store refuses and that knows nothing new; a store that is down
 * for all; a store that has returned from a copy. A VM that hears nothing for {@link
 * #SILENCE_MILLIS}, or whose peers know a later position, reads the store itself; a reader that has
 * just started receives once from another VM what that one keeps of earlier eras.
 *
 * <p>Invariants: a VM that is followed by this one does not receive its changes through this one; a
 * VM either watches the store or has received a message of the followed VM within {@link
 * #SILENCE_MILLIS}, apart from {@link #TRANSITION_MILLIS} after a loss. Confined to one thread.
 */
public final class FeedController {
  /** Milliseconds between messages of a VM to those that follow it. */
  public static final long HEARTBEAT_MILLIS = 250;

  /** Milliseconds without a message after which the followed VM is given up: three lost ones. */
  static final long SILENCE_MILLIS = 800;

  /**
   * Milliseconds after the loss of the followed VM, or after a start, in which another one is tried
   * before the store is watched.
   */
  static final long TRANSITION_MILLIS = 150;

  /** Milliseconds after a start in which the other VMs become known. */
  static final long START_TRANSITION_MILLIS = 700;

  /**
   * Milliseconds for which a VM that was given up is not followed again; doubled each time until it
   * passes current changes on, up to {@link #MAX_SUSPICION_MILLIS}.
   */
  static final long SUSPICION_MILLIS = 3_000;

  /** Longest suspicion: the time after which a VM that nobody hears is no longer a member. */
  static final long MAX_SUSPICION_MILLIS = 30_000;

  /**
   * Age of the store's last answer above which the changes of the followed VM are not trusted: two
   * watches of a reader and a heartbeat for each VM on the way.
   */
  static final long MAX_AGE_MILLIS = 3_000;

  /** Milliseconds between checks of a store that the followed VM reports as unavailable. */
  static final long CHECK_MILLIS = 2_000;

  /**
   * Milliseconds over which the first checks of the VMs are spread, by rank: those that follow
   * another VM in time need none.
   */
  static final long CHECK_SPREAD_MILLIS = 300;

  /**
   * Milliseconds for which another VM may know a later revision; longer than a change takes through
   * the tree, a fraction of the shortest time limit for applying a change.
   */
  static final long MAX_BEHIND_MILLIS = 400;

  /** Shortest time between two switches to a VM that fits better, in milliseconds. */
  static final long SWITCH_MILLIS = 1_000;

  /** Milliseconds for which the store must fail before a reader asks another VM. */
  static final long STORE_FAILED_MILLIS = 300;

  /** Milliseconds between the VMs that a reader asks one after another while the store fails. */
  static final long SUBSTITUTE_MILLIS = 500;

  /** Most VMs that a change may pass; a longer path is not a tree of any planned fleet. */
  static final int MAX_PATH = 12;

  private static final long TICK_MILLIS = 100;
  private static final long NEVER = Long.MIN_VALUE / 2;

  private final FeedMember self;
  private final FeedTree tree;
  private final FeedPort port;
  private final TimerService time;
  private final Map<Long, Suspicion> suspicions = new HashMap<>();
  private final Consultation consultation = new Consultation();
  private Optional<FeedMember> followed = Optional.empty();
  private List<Long> followedPath = List.of();
  private boolean followedAvailable;
  private long followedAtMillis = NEVER;
  private long messageAtMillis = NEVER;
  private long followedContactAtMillis = NEVER;
  private long ownContactAtMillis = NEVER;
  private long lostAtMillis;
  private long transitionMillis = START_TRANSITION_MILLIS;
  private long storeFailedAtMillis = NEVER;
  private long checkedAtMillis = NEVER;
  private long unsureSinceMillis = NEVER;
  private long substitutedAtMillis = NEVER;
  private long behindSinceMillis = NEVER;
  private StorePosition missing = StorePosition.NONE;
  private StorePosition known = StorePosition.NONE;
  private StorePosition latest = StorePosition.NONE;
  private boolean watching;
  private boolean announcedAvailable;

  private record Suspicion(long untilMillis, long nextMillis) {}

  /**
   * Creates the controller of a VM that has just started and follows no VM yet.
   *
   * @param self this VM
   * @param port carries out the decisions
   * @param time the clock and timers
   */
  public FeedController(FeedMember self, FeedPort port, TimerService time) {
    this.self = self;
    this.tree = new FeedTree(self);
    this.port = port;
    this.time = time;
    this.lostAtMillis = time.nowMillis();
  }

  /** Starts to take decisions, once the VM is able to reach others. */
  public void start() {
    lostAtMillis = time.nowMillis();
    consultation.begin(lostAtMillis);
    time.every(TICK_MILLIS, this::update);
  }

  /** Sets the known VMs of the fleet. */
  public void setMembers(Collection<FeedMember> members) {
    tree.setMembers(members);
  }

  /** Records that the store answered this VM. */
  public void recordStoreAnswer() {
    long now = time.nowMillis();
    storeFailedAtMillis = NEVER;
    ownContactAtMillis = now;
    if (isLive(now) && !isCurrent(now)) {
      giveUp();
    } else if (isCurrent(now) && isReader(now)) {
      drop();
    }
    update();
  }

  /** Records that the store did not answer this VM, or refused to. */
  public void recordStoreFailure() {
    if (storeFailedAtMillis == NEVER) {
      storeFailedAtMillis = time.nowMillis();
    }
    update();
  }

  /**
   * Records a message of the VM that is followed.
   *
   * @param position the position up to which that VM knows all changes
   */
  public void recordMessage(FeedMember from, StorePosition position, FeedStatus status) {
    if (followed.isEmpty() || followed.get().address() != from.address()) {
      return;
    }
    long now = time.nowMillis();
    if (consultation.isActive(now) && isReader(now)) {
      // A VM that has not noticed the new era does not know yet what it keeps.
      if (position.era() >= known.era()) {
        consultation.recordAnswer(from);
      }
      if (storeFailedAtMillis == NEVER) {
        drop();
        update();
        return;
      }
    }
    if (status.path().contains(self.address()) || status.path().size() > MAX_PATH) {
      giveUp();
      return;
    }
    followedPath = status.path();
    followedAvailable = status.available();
    messageAtMillis = now;
    followedContactAtMillis = now - status.ageMillis();
    if (isCurrent(now)) {
      suspicions.remove(from.address());
    } else if (isReader(now)) {
      giveUp();
    }
    update();
  }

  /** Records that the connection to the followed VM has ended or could not be opened. */
  public void recordDisconnect(FeedMember from) {
    if (followed.isPresent() && followed.get().address() == from.address()) {
      giveUp();
      update();
    }
  }

  /** Records the position up to which this VM knows all changes. */
  public void recordKnownPosition(StorePosition position) {
    if (position.era() > known.era() && !known.isNone()) {
      consultation.begin(time.nowMillis());
    }
    known = later(known, position);
    if (!missing.isAfter(known)) {
      missing = latest;
      behindSinceMillis = latest.isAfter(known) ? time.nowMillis() : NEVER;
    }
  }

  /** Records the position that another VM knows. */
  public void recordPeerPosition(StorePosition position) {
    latest = later(latest, position);
    if (latest.isAfter(known) && behindSinceMillis == NEVER) {
      missing = latest;
      behindSinceMillis = time.nowMillis();
    }
  }

  private static StorePosition later(StorePosition one, StorePosition other) {
    return other.isAfter(one) ? other : one;
  }

  /** Returns the status to send to the VMs that follow this one. */
  public FeedStatus status() {
    long now = time.nowMillis();
    long contactAtMillis =
        followed.isPresent()
            ? Math.max(ownContactAtMillis, followedContactAtMillis)
            : ownContactAtMillis;
    long ageMillis = Math.min(now - contactAtMillis, Integer.MAX_VALUE);
    List<Long> path = new ArrayList<>(followed.isPresent() ? followedPath : List.of());
    path.add(self.address());
    return new FeedStatus(isAvailable(now), ageMillis, path);
  }

  /** Returns the VM that is followed, empty if this VM reads the store or is about to. */
  public Optional<FeedMember> followed() {
    return followed;
  }

  /** Returns whether the VM is followed and has sent a message. */
  public boolean hasReceived(FeedMember from) {
    return followed.filter(from::equals).isPresent() && messageAtMillis != NEVER;
  }

  /** Returns whether this VM watches the store. */
  public boolean isWatching() {
    return watching;
  }

  private void update() {
    long now = time.nowMillis();
    if (followed.isPresent() && !isLive(now) && now - followedAtMillis > SILENCE_MILLIS) {
      giveUp();
    }
    choose(now);
    boolean isSupplied = isReader(now) ? isCurrent(now) : isLive(now);
    setWatching(!isSupplied && now - lostAtMillis >= transitionMillis);
    if (isCheckDue(now)) {
      checkedAtMillis = now;
      port.catchUp();
    }
    if (announcedAvailable != isAvailable(now)) {
      announcedAvailable = !announcedAvailable;
      port.announceStatus();
    }
  }

  private void choose(long now) {
    Set<Long> excluded = suspected(now);
    Optional<FeedMember> wanted = tree.parent(excluded);
    if (wanted.isEmpty()) {
      chooseSubstitute(excluded, now);
      return;
    }
    boolean waits = isCurrent(now) && now - followedAtMillis < SWITCH_MILLIS;
    if (!wanted.equals(followed) && !waits) {
      follow(wanted.get(), now);
    }
  }

  /**
   * Lets a reader follow another VM while the store fails, and some VMs shortly after its start.
   */
  private void chooseSubstitute(Set<Long> excluded, long now) {
    if (followed.isPresent()) {
      if (storeFailedAtMillis == NEVER && !consultation.isActive(now)) {
        drop();
      }
      return;
    }
    Optional<FeedMember> consulted = consultation.next(tree.alternatives(excluded), now);
    if (consulted.isPresent()) {
      follow(consulted.get(), now);
      return;
    }
    boolean hasStoreFailed =
        storeFailedAtMillis != NEVER && now - storeFailedAtMillis >= STORE_FAILED_MILLIS;
    if (hasStoreFailed && now - substitutedAtMillis >= SUBSTITUTE_MILLIS) {
      substitutedAtMillis = now;
      tree.alternatives(excluded).stream().findFirst().ifPresent(vm -> follow(vm, now));
    }
  }

  private void follow(FeedMember parent, long now) {
    if (isLive(now)) {
      lostAtMillis = now;
      transitionMillis = TRANSITION_MILLIS;
    }
    followed = Optional.of(parent);
    followedPath = List.of();
    followedAvailable = false;
    followedAtMillis = now;
    messageAtMillis = NEVER;
    followedContactAtMillis = NEVER;
    port.follow(parent);
  }

  private void giveUp() {
    followed.ifPresent(
        parent -> {
          Suspicion last = suspicions.get(parent.address());
          long millis = last == null ? SUSPICION_MILLIS : last.nextMillis();
          suspicions.put(
              parent.address(),
              new Suspicion(time.nowMillis() + millis, Math.min(2 * millis, MAX_SUSPICION_MILLIS)));
        });
    drop();
  }

  private void drop() {
    if (followed.isEmpty()) {
      return;
    }
    if (isLive(time.nowMillis())) {
      lostAtMillis = time.nowMillis();
      transitionMillis = TRANSITION_MILLIS;
    }
    followed = Optional.empty();
    messageAtMillis = NEVER;
    port.unfollow();
  }

  private void setWatching(boolean wanted) {
    if (watching != wanted) {
      watching = wanted;
      port.setWatching(wanted);
    }
  }

  private boolean isCheckDue(long now) {
    boolean isUnsure = isLive(now) && (!isCurrent(now) || isReader(now));
    if (!isUnsure) {
      unsureSinceMillis = NEVER;
    } else if (unsureSinceMillis == NEVER) {
      unsureSinceMillis = now;
    }
    if (watching || now - checkedAtMillis < MAX_BEHIND_MILLIS) {
      return false;
    }
    boolean isBehind = behindSinceMillis != NEVER && now - behindSinceMillis >= MAX_BEHIND_MILLIS;
    return isBehind
        || isUnsure
            && now - unsureSinceMillis >= Math.floorMod(self.rank(), CHECK_SPREAD_MILLIS)
            && now - checkedAtMillis >= CHECK_MILLIS;
  }

  private boolean isReader(long now) {
    return tree.parent(suspected(now)).isEmpty();
  }

  private boolean isLive(long now) {
    return followed.isPresent() && now - messageAtMillis <= SILENCE_MILLIS;
  }

  private boolean isCurrent(long now) {
    return isLive(now) && followedAvailable && now - followedContactAtMillis <= MAX_AGE_MILLIS;
  }

  private boolean isAvailable(long now) {
    return followed.isPresent()
        ? isCurrent(now)
        : storeFailedAtMillis == NEVER && now - ownContactAtMillis <= MAX_AGE_MILLIS;
  }

  private Set<Long> suspected(long now) {
    if (suspicions.isEmpty()) {
      return Set.of();
    }
    Set<Long> suspected = new HashSet<>();
    suspicions.forEach(
        (address, suspicion) -> {
          if (suspicion.untilMillis() > now) {
            suspected.add(address);
          }
        });
    return suspected;
  }
}
