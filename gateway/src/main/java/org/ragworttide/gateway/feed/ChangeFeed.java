package org.ragworttide.gateway.feed;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.ServerChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.ragworttide.coordination.feed.Change;
import org.ragworttide.coordination.feed.ChangeBatch;
import org.ragworttide.coordination.feed.ChangeLog;
import org.ragworttide.coordination.feed.FeedController;
import org.ragworttide.coordination.feed.FeedMember;
import org.ragworttide.coordination.feed.FeedPort;
import org.ragworttide.coordination.feed.ItemRules;
import org.ragworttide.coordination.feed.RetainedChange;
import org.ragworttide.coordination.feed.StorePosition;
import org.ragworttide.coordination.time.TimerService;
import org.ragworttide.daemon.log.EventLog;
import org.ragworttide.daemon.log.LogEvent;

/**
 * The changes of the store that this VM knows: received from another VM or read from the store, and
 * passed on to other VMs.
 *
 * <p>Invariants: each change reaches the listener once, and never after a newer one of its key,
 * apart from a change that the store has lost and not confirmed in time; what other VMs receive has
 * reached the listener before. Confined to the event loop.
 */
public final class ChangeFeed {
  private static final int MAX_LOGGED_KEYS = 20;

  private final TimerService time;
  private final ChangeLog log;
  private final FeedController controller;
  private final FeedServer server;
  private FeedClient client;
  private StoreReader reader;
  private ChangeListener listener;
  private Set<InetAddress> memberAddresses = Set.of();

  /**
   * Creates a feed that knows no changes yet.
   *
   * @param self this VM
   * @param seeds addresses of VMs that may follow this one before they are known as members
   * @param rules by which changes are compared after the store has returned from a copy
   * @param time the clock and timers of the event loop
   */
  public ChangeFeed(
      FeedMember self, Collection<InetSocketAddress> seeds, ItemRules rules, TimerService time) {
    this.time = time;
    this.log = new ChangeLog(rules);
    this.controller = new FeedController(self, new Port(), time);
    this.server =
        new FeedServer(
            log,
            time,
            address ->
                memberAddresses.contains(address)
                    || seeds.stream().anyMatch(seed -> seed.getAddress().equals(address)));
    server.onSubscribed(this::sendToFollowers);
  }

  /** Sets who reads the store and who receives its changes; must be called before any other. */
  public void connect(StoreReader storeReader, ChangeListener changeListener) {
    reader = storeReader;
    listener = changeListener;
  }

  /** Sets the handler of connections of other VMs that do not follow this one. */
  public void setOtherConnections(PeerConnectionHandler handler) {
    server.setOtherConnections(handler);
  }

  /**
   * Starts to follow other VMs and to serve those that follow this one; must not be called on the
   * event loop.
   */
  public void start(
      EventLoop loop,
      Class<? extends ServerChannel> serverType,
      Class<? extends Channel> clientType,
      InetSocketAddress address) {
    server.start(loop, serverType, address);
    loop.execute(
        () -> {
          client = new FeedClient(loop, clientType, address.getAddress(), new ClientListener());
          controller.start();
          time.every(FeedController.HEARTBEAT_MILLIS, this::beat);
        });
  }

  /** Returns the position up to which this VM knows all changes of the store. */
  public StorePosition position() {
    return log.position();
  }

  /** Sets the known VMs of the fleet. */
  public void setMembers(Collection<FeedMember> members) {
    memberAddresses =
        members.stream()
            .map(member -> FeedAddress.address(member.address()).getAddress())
            .collect(Collectors.toSet());
    controller.setMembers(members);
  }

  /** Records the position that another VM knows. */
  public void recordPeerPosition(StorePosition position) {
    controller.recordPeerPosition(position);
  }

  /**
   * Records an answer of the store, which may contain no changes.
   *
   * @return whether the answer follows what this VM knows; if not, it is ignored
   */
  public boolean recordStoreAnswer(ChangeBatch batch) {
    boolean follows = log.follows(batch);
    apply(batch);
    controller.recordStoreAnswer();
    return follows;
  }

  /** Records that the store did not answer this VM, or refused to. */
  public void recordStoreFailure() {
    controller.recordStoreFailure();
  }

  /**
   * Reads the changes after a revision of the known era, which this VM has passed already, and
   * passes them to the listener as changes of the past.
   *
   * @param outcome receives the outcome after the listener
   */
  public void readPast(long afterRevision, Consumer<ReadOutcome> outcome) {
    reader.read(
        new StorePosition(log.position().era(), afterRevision),
        answer -> {
          if (answer instanceof ReadOutcome.Changes past) {
            listener.recordPast(past.batch().changes());
          }
          outcome.accept(answer);
        });
  }

  /**
   * Reads the store now and applies what has changed.
   *
   * @param outcome receives whether this VM knows all changes up to a time after this call
   */
  public void confirm(Consumer<Boolean> outcome) {
    reader.read(
        log.position(),
        answer -> {
          if (answer instanceof ReadOutcome.Changes changes) {
            apply(changes.batch());
          }
          outcome.accept(answer instanceof ReadOutcome.Changes);
        });
  }

  private void apply(ChangeBatch batch) {
    if (batch.listing() && !log.position().isNone() && log.follows(batch)) {
      listener.recordGap();
    }
    boolean isEmpty = !batch.listing() && batch.changes().isEmpty();
    if (!log.follows(batch) && !isEmpty) {
      EventLog.log(
          LogEvent.CHANGES_IGNORED,
          batch.listing() ? "listing" : "changes",
          batch.afterRevision(),
          batch.position(),
          log.position());
    }
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

  private void beat() {
    deliver(log.expireRetained(time.nowMillis()), false);
    sendToFollowers();
  }

  /** Passes changes on to the listener and the other VMs. */
  private void deliver(List<Change> changes, boolean hasRetainedMore) {
    changes.forEach(this::deliver);
    if (hasRetainedMore) {
      List<String> keys =
          log.retained(time.nowMillis()).stream().map(it -> it.change().key()).toList();
      EventLog.log(
          LogEvent.CHANGES_RETAINED,
          keys.size(),
          keys.subList(0, Math.min(MAX_LOGGED_KEYS, keys.size())));
    }
    if (!changes.isEmpty() || hasRetainedMore) {
      sendToFollowers();
    }
  }

  /** Passes a change on; one that fails is left out, so that those after it are applied. */
  private void deliver(Change change) {
    try {
      listener.apply(change);
    } catch (RuntimeException e) {
      EventLog.log(LogEvent.CHANGE_FAILED, change.key(), change.revision(), e);
    }
  }

  private void sendToFollowers() {
    if (server.followers() > 0) {
      server.send(controller.status());
    }
  }

  private void logSource(String source) {
    EventLog.log(LogEvent.FEED_SOURCE, source, log.position());
  }

  /** Carries out the decisions of the controller. Confined to the event loop. */
  private final class Port implements FeedPort {
    @Override
    public void follow(FeedMember parent) {
      client.connect(parent, log.position());
    }

    @Override
    public void unfollow() {
      client.close();
    }

    @Override
    public void setWatching(boolean watching) {
      if (watching) {
        logSource("the store");
      }
      reader.setWatching(watching);
    }

    @Override
    public void catchUp() {
      reader.catchUp();
    }

    @Override
    public void announceStatus() {
      sendToFollowers();
    }
  }

  /** Applies the messages of the followed VM. Confined to the event loop. */
  private final class ClientListener implements FeedClient.Listener {
    @Override
    public void received(FeedMember from, FeedMessage message) {
      if (!controller.hasReceived(from)) {
        logSource("VM at " + FeedAddress.address(from.address()));
      }
      if (message.status().available()) {
        listener.recordStoreContact();
      }
      apply(message.batch());
      retain(message.retained());
      controller.recordMessage(from, message.batch().position(), message.status());
    }

    @Override
    public void disconnected(FeedMember from) {
      controller.recordDisconnect(from);
    }
  }
}
