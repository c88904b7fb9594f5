package org.ragworttide.coordination.message;

import java.util.List;
import java.util.Objects;
import org.ragworttide.coordination.id.UpstreamId;

/**
 * Messages of the admission to cold upstreams.
 *
 * <p>Immutable, safe for use by any thread.
 */
public sealed interface AdmissionMessage extends PeerMessage {

  /**
   * Asks the owner of an upstream whether it is warm, or else for permits.
   *
   * @param upstream the upstream
   * @param upstreamIncarnation the run of its process that the asker knows of
   * @param asker a random number of the asking part, drawn at its start
   * @param number the asker's number of the question, growing
   * @param abandonedFrom the first question since the last answer, or the number itself; answers to
   *     the questions from there up to this one will not be used
   * @param permits how many requests the asker would start
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
   * Gives permits to start requests at a cold upstream.
   *
   * <p>The permits are valid for the stated time, counted from when the question was sent.
   *
   * @param upstream the upstream
   * @param asker the asker's random number, from the question
   * @param number the number of the question
   * @param firstPermit the number of the first permit
   * @param permits how many permits, numbered on from the first
   * @param validMillis how long a request may be started under them
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
   * Tells that an upstream has proved warm.
   *
   * @param upstream the upstream
   * @param upstreamIncarnation the run of its process that is warm
   * @param asker the asker's random number, from the question
   * @param number the number of the question
   */
  record Warm(UpstreamId upstream, long upstreamIncarnation, long asker, long number)
      implements AdmissionMessage {

    /** Checks the arguments. */
    public Warm {
      Objects.requireNonNull(upstream, "upstream");
    }
  }

  /**
   * Tells the owner how requests went and which permits are free again.
   *
   * @param upstream the upstream
   * @param upstreamIncarnation the run of its process that answered
   * @param asker the sender's random number
   * @param number the sender's number of the message, growing
   * @param succeeded answers that began in time
   * @param failed requests that failed
   * @param slow answers that began far later than usual
   * @param returned permits whose request has ended or that were not used
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
   * Tells that an upstream has turned cold without a restart.
   *
   * @param upstream the upstream
   * @param upstreamIncarnation the run of its process that turned cold
   * @param episode the owner's number of the event, random
   * @param relay whether the receiver passes it on to its part of the fleet
   */
  record TurnedCold(UpstreamId upstream, long upstreamIncarnation, long episode, boolean relay)
      implements AdmissionMessage {

    /** Checks the arguments. */
    public TurnedCold {
      Objects.requireNonNull(upstream, "upstream");
    }
  }
}
