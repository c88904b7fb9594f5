package org.ragworttide.bench.routing;

import java.util.Arrays;
import java.util.SplittableRandom;

/**
 * Sequence of requests from recurring chats, identical for all strategies of a seed.
 *
 * <p>Invariant: requests are in order of time; pauses are log-normal, most of minutes and some of
 * hours. Confined to one thread during generation, immutable afterwards.
 */
final class Trace {
  static final int HOT_CHAT = 0;
  private static final double PAUSE_SIGMA = 1.5;
  private static final double RETURN_SHARE = 0.85;
  private static final long HISTORY_MILLIS = 1_800_000;
  private static final int CHAT_BITS = 24;

  final long[] atMillis;
  final int[] chats;
  final int[] daemons;
  final int[] answerMillis;
  final int chatCount;

  private Trace(long[] keys, int chatCount, FleetSize size, SplittableRandom random) {
    this.chatCount = chatCount;
    atMillis = new long[keys.length];
    chats = new int[keys.length];
    daemons = new int[keys.length];
    answerMillis = new int[keys.length];
    for (int i = 0; i < keys.length; i++) {
      atMillis[i] = keys[i] >>> CHAT_BITS;
      chats[i] = (int) (keys[i] & ((1 << CHAT_BITS) - 1));
      daemons[i] = random.nextInt(size.daemons());
      answerMillis[i] = (int) Math.max(200, logNormal(random, size.answerMillis() * 0.8825, 0.5));
    }
  }

  /**
   * Generates a trace.
   *
   * @param size fleet size and traffic
   * @param seed seed of the random numbers
   * @param hotShare share of all requests that one chat sends in addition in the second half
   */
  static Trace generate(FleetSize size, long seed, double hotShare) {
    SplittableRandom random = new SplittableRandom(seed);
    long endMillis = size.seconds() * 1_000L;
    double chatsPerMilli = size.requestsPerSecond() * (1 - RETURN_SHARE) / 1_000;
    long[] keys = new long[1 << 16];
    int count = 0;
    int chat = HOT_CHAT;
    double start = -HISTORY_MILLIS;
    while (start < endMillis) {
      start += exponential(random, 1 / chatsPerMilli);
      chat++;
      double turn = start;
      while (turn < endMillis) {
        if (turn >= 0) {
          keys = count == keys.length ? Arrays.copyOf(keys, 2 * count) : keys;
          keys[count++] = ((long) turn << CHAT_BITS) | chat;
        }
        boolean returns = random.nextDouble() < RETURN_SHARE;
        double pause = logNormal(random, size.pauseMedianMillis(), PAUSE_SIGMA);
        turn = returns ? turn + size.answerMillis() + pause : endMillis;
      }
    }
    keys = withHotChat(Arrays.copyOf(keys, count), size, hotShare, random);
    Arrays.sort(keys);
    return new Trace(keys, chat + 1, size, random);
  }

  private static long[] withHotChat(
      long[] keys, FleetSize size, double share, SplittableRandom random) {
    if (share == 0) {
      return keys;
    }
    long endMillis = size.seconds() * 1_000L;
    int hot = (int) (share * size.requestsPerSecond() * size.seconds() / 2);
    long[] all = Arrays.copyOf(keys, keys.length + hot);
    for (int i = keys.length; i < all.length; i++) {
      all[i] = (random.nextLong(endMillis / 2, endMillis) << CHAT_BITS) | HOT_CHAT;
    }
    return all;
  }

  static double exponential(SplittableRandom random, double mean) {
    return -mean * Math.log(1 - random.nextDouble());
  }

  private static double logNormal(SplittableRandom random, double median, double sigma) {
    return median * Math.exp(sigma * random.nextGaussian());
  }
}
