package org.ragworttide.coordination.message;

import java.util.List;
import java.util.Objects;
import org.ragworttide.coordination.id.OrganisationId;

/**
 * Messages about fleet-wide rates, between the holders of permits and the owner of an
 * organisation's rate.
 *
 * <p>Invariant: a message that is lost, repeated, delayed or reordered never creates tokens.
 * Immutable, safe for use by any thread.
 */
public sealed interface LimitMessage extends PeerMessage {

  /**
   * Requests tokens from an owner and closes permits that are used up or returned.
   *
   * @param askId number that identifies the request, chosen by the holder
   * @param wants requested tokens, one entry per organisation
   * @param closes permits that the holder will no longer use
   */
  record Ask(long askId, List<Want> wants, List<Close> closes) implements LimitMessage {

    /** Copies the lists. */
    public Ask {
      wants = List.copyOf(wants);
      closes = List.copyOf(closes);
    }
  }

  /**
   * Answers a request for tokens.
   *
   * @param askId number of the answered request
   * @param grants one entry for each want, in the order of the request
   */
  record Answer(long askId, List<Grant> grants) implements LimitMessage {

    /** Copies the list. */
    public Answer {
      grants = List.copyOf(grants);
    }
  }

  /**
   * Request for tokens of one organisation.
   *
   * @param organisation the organisation whose tokens are requested
   * @param part number of the part of the organisation's limit, zero if the limit has only one part
   * @param requests hashes of the waiting requests, which need one token each
   * @param spareTokens additional tokens for future requests
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
   * Ends a permit and returns its unused tokens to the owner.
   *
   * @param permitId the permit
   * @param usedAsAsked whether exactly the requests listed in the want used the tokens of the
   *     permit
   * @param requests hashes of the requests that used a token of the permit, unless usedAsAsked is
   *     set
   */
  record Close(long permitId, boolean usedAsAsked, List<Long> requests) {

    /** Copies the list. */
    public Close {
      requests = List.copyOf(requests);
    }
  }

  /**
   * Answer of the owner to one want.
   *
   * @param owned whether the answering VM owns the organisation
   * @param permitId number of the permit, zero if no token was granted
   * @param tokens number of tokens of the permit
   * @param durationMillis how long the permit is valid, counted from before the request was sent
   * @param scarce whether unreported use limits the refill
   * @param retryAfterMillis delay after which a request without a token may be retried
   * @param counted positions in the want's requests that the owner had already counted
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
