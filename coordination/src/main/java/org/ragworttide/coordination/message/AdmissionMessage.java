package org.ragworttide.coordination.message;

import java.util.List;
import java.util.Objects;
import org.ragworttide.coordination.id.UpstreamId;

/**
 * Messages about admission to cold upstreams.
 *
 * <p>Immutable, safe for use by any thread.
 */
public sealed interface AdmissionMessage extends PeerMessage {

  /**
   * Request to the owner of an upstream: whether the upstream is warm, and for permits if it is
   * not.
   *
   * @param upstream the upstream
   * @param upstreamIncarnation the run of its process that the requester knows
   * @param asker random number of the requesting component, drawn at its start
   * @param number the requester's number of the request, increasing
   * @param abandonedFrom number of the first request since the last answer, or the number itself;
   *     the requester does not use answers to the requests from there up to, but excluding, this
   *     one
   * @param permits how many requests the requester wants to start
   */
  record Ask(
      UpstreamId upstream,
      long upstreamIncarnation,
      long asker,
      long number,
      long abandonedFrom,
      int permits)
      implements AdmissionMessage {

    /** Checks the arguments. */
    public Ask {
      Objects.requireNonNull(upstream, "upstream");
      if (permits < 0 || abandonedFrom > number) {
        throw new IllegalArgumentException("permits or abandonedFrom out of range");
      }
    }
  }

  /**
   * Grants permits to start requests at a cold upstream.
   *
   * <p>The permits are valid for the stated time, counted from when the request was sent.
   *
   * @param upstream the upstream
   * @param asker the requester's random number, from the request
   * @param number the number of the request
   * @param firstPermit the number of the first permit
   * @param permits how many permits are granted, numbered consecutively from the first
   * @param validMillis how long requests may be started under the permits
   */
  record Grant(
      UpstreamId upstream, long asker, long number, long firstPermit, int permits, long validMillis)
      implements AdmissionMessage {

    /** Checks the arguments. */
    public Grant {
      Objects.requireNonNull(upstream, "upstream");
      if (permits < 0 || validMillis < 0) {
        throw new IllegalArgumentException("permits and validity must not be negative");
      }
    }
  }

  /**
   * Reports that an upstream has proved warm.
   *
   * @param upstream the upstream
   * @param upstreamIncarnation the run of its process that is warm
   * @param asker the requester's random number, from the request
   * @param number the number of the request
   */
  record Warm(UpstreamId upstream, long upstreamIncarnation, long asker, long number)
      implements AdmissionMessage {

    /** Checks the arguments. */
    public Warm {
      Objects.requireNonNull(upstream, "upstream");
    }
  }

  /**
   * Reports to the owner the outcomes of requests and the returned permits.
   *
   * @param upstream the upstream
   * @param upstreamIncarnation the run of its process that answered
   * @param asker the sender's random number
   * @param number the sender's number of the message, increasing
   * @param succeeded answers that began in time
   * @param failed requests that failed
   * @param slow answers that began much later than usual
   * @param returned permits that were not used or whose request has ended
   */
  record Feedback(
      UpstreamId upstream,
      long upstreamIncarnation,
      long asker,
      long number,
      int succeeded,
      int failed,
      int slow,
      List<Long> returned)
      implements AdmissionMessage {

    /** Checks the counts and copies the list. */
    public Feedback {
      Objects.requireNonNull(upstream, "upstream");
      returned = List.copyOf(returned);
      if (succeeded < 0 || failed < 0 || slow < 0) {
        throw new IllegalArgumentException("counts must not be negative");
      }
    }
  }

  /**
   * Reports that an upstream has turned cold without a restart.
   *
   * @param upstream the upstream
   * @param upstreamIncarnation the run of its process that turned cold
   * @param episode random number by which the owner identifies the event
   * @param relay whether the receiver forwards the message to its part of the fleet
   */
  record TurnedCold(UpstreamId upstream, long upstreamIncarnation, long episode, boolean relay)
      implements AdmissionMessage {

    /** Checks the arguments. */
    public TurnedCold {
      Objects.requireNonNull(upstream, "upstream");
    }
  }
}
