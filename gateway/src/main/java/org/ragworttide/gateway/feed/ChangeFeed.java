package org.ragworttide.gateway.feed;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.ServerChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.ragworttide.coordination.feed.Change;
import org.ragworttide.coordination.feed.ChangeBatch;
import org.ragworttide.coordination.feed.ChangeLog;
import org.ragworttide.coordination.feed.FeedController;
import org.ragworttide.coordination.feed.FeedMember;
import org.ragworttide.coordination.feed.FeedPort;
import org.ragworttide.coordination.time.TimerService;
import org.ragworttide.daemon.log.EventLog;
import org.ragworttide.daemon.log.LogEvent;

/**
 * The changes of the store that this VM knows: received from another VM or read from the store, and
 * passed on to other VMs.
 *
 * <p>Invariants: each change reaches the listener once, and never after a newer one of its key;
 * what other VMs receive has reached the listener before. Confined to the event loop.
 */
public final class ChangeFeed {
  private final TimerService time;
  private final ChangeLog log = new ChangeLog();
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
   * @param time the clock and timers of the event loop
   */
  public ChangeFeed(FeedMember self, Collection<InetSocketAddress> seeds, TimerService time) {
    this.time = time;
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
          client = new FeedClient(loop, clientType, new ClientListener());
          controller.start();
          time.every(FeedController.HEARTBEAT_MILLIS, this::sendToFollowers);
        });
  }

  /** Returns the revision up to which this VM knows all changes of the store. */
  public long revision() {
    return log.revision();
  }

  /** Sets the known VMs of the fleet. */
  public void setMembers(Collection<FeedMember> members) {
    memberAddresses =
        members.stream()
            .map(member -> FeedAddress.address(member.address()).getAddress())
            .collect(Collectors.toSet());
    controller.setMembers(members);
  }

  /** Records the revision that another VM knows. */
  public void recordPeerRevision(long revision) {
    controller.recordPeerRevision(revision);
  }

  /** Records an answer of the store, which may contain no changes. */
  public void recordStoreAnswer(ChangeBatch batch) {
    apply(batch);
    controller.recordStoreAnswer();
  }

  /** Records that the store did not answer this VM, or refused to. */
  public void recordStoreFailure() {
    controller.recordStoreFailure();
  }

  private void apply(ChangeBatch batch) {
    if (!log.follows(batch)) {
      EventLog.log(
          LogEvent.CHANGES_IGNORED,
          batch.listing() ? "listing" : "changes",
          batch.afterRevision(),
          batch.revision(),
          log.revision());
    }
    List<Change> changes = log.apply(batch, time.nowMillis());
    changes.forEach(this::deliver);
    controller.recordKnownRevision(log.revision());
    if (!changes.isEmpty()) {
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
    EventLog.log(LogEvent.FEED_SOURCE, source, log.revision());
  }

  /** Carries out the decisions of the controller. Confined to the event loop. */
  private final class Port implements FeedPort {
    @Override
    public void follow(FeedMember parent) {
      client.connect(parent, log.revision());
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
      controller.recordMessage(from, message.status());
    }

    @Override
    public void disconnected(FeedMember from) {
      controller.recordDisconnect(from);
    }
  }
}
