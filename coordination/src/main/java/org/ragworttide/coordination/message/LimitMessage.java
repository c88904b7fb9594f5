package org.ragworttide.coordination.message;

import java.util.List;
import java.util.Objects;
import org.ragworttide.coordination.id.OrganisationId;

/**
 * Messages of the fleet-wide rates, between holders of permits and an organisation's owner.
 *
 * <p>Invariant: a message that is lost, repeated, delayed or reordered never creates tokens.
 * Immutable, safe for use by any thread.
 */
public sealed interface LimitMessage extends PeerMessage {

  /**
   * Asks an owner for tokens and closes permits that are used up or returned.
   *
   * @param askId identifies the ask, chosen by the holder
   * @param wants what is asked for, one entry an organisation
   * @param closes permits that the holder will not use any more
   */
  record Ask(long askId, List<Want> wants, List<Close> closes) implements LimitMessage {

    /** Copies the lists. */
    public Ask {
      wants = List.copyOf(wants);
      closes = List.copyOf(closes);
    }
  }

  /**
   * Answers an ask.
   *
   * @param askId the ask that is answered
   * @param grants one entry for each want, in the order of the ask
   */
  record Answer(long askId, List<Grant> grants) implements LimitMessage {

    /** Copies the list. */
    public Answer {
      grants = List.copyOf(grants);
    }
  }

  /**
   * Wish for tokens of one organisation.
   *
   * @param organisation whose tokens
   * @param part which part of the organisation's limit, zero if it has only one
   * @param requests hashes of the requests that wait, one token each
   * @param spareTokens further tokens for requests to come
   */
  record Want(OrganisationId organisation, int part, List<Long> requests, int spareTokens) {

    /** Copies the list and checks the count. */
    public Want {
      Objects.requireNonNull(organisation, "organisation");
      requests = List.copyOf(requests);
      if (part < 0 || spareTokens < 0) {
        throw new IllegalArgumentException("part and spareTokens must not be negative");
      }
    }
  }

  /**
   * Ends a permit: what was not used goes back to the owner.
   *
   * @param permitId the permit
   * @param usedAsAsked whether exactly the requests that were asked for used its tokens
   * @param requests else, hashes of the requests that used a token of it
   */
  record Close(long permitId, boolean usedAsAsked, List<Long> requests) {

    /** Copies the list. */
    public Close {
      requests = List.copyOf(requests);
    }
  }

  /**
   * The owner's answer to one want.
   *
   * @param owned whether the answering VM owns the organisation
   * @param permitId identifies the permit, zero when no token was granted
   * @param tokens how many tokens the permit holds
   * @param durationMillis how long it is valid, from before the ask was sent
   * @param scarce whether unreported use holds back the refill
   * @param retryAfterMillis when a request that got no token may ask again
   * @param counted positions in the want's requests that were counted before
   */
  record Grant(
      boolean owned,
      long permitId,
      int tokens,
      int durationMillis,
      boolean scarce,
      int retryAfterMillis,
      List<Integer> counted) {

    /** Copies the list and checks the numbers. */
    public Grant {
      counted = List.copyOf(counted);
      if (tokens < 0 || durationMillis < 0 || retryAfterMillis < 0) {
        throw new IllegalArgumentException("numbers of a grant must not be negative");
      }
    }

    /** Returns the grant of a VM that does not own the organisation. */
    public static Grant notOwned(int retryAfterMillis) {
      return new Grant(false, 0, 0, 0, false, retryAfterMillis, List.of());
    }
  }
}
