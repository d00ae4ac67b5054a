package elmsail.batch.api;

import elmsail.batch.BatchService.Reply;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import java.util.Random;

/** The answers that are alike for all calls. */
final class BatchReplies {
  static final byte[] EMPTY_BODY = {};
  static final Reply ACCEPTED = new Reply(202, EMPTY_BODY, 0);
  static final Reply OK = new Reply(200, EMPTY_BODY, 0);
  static final Reply BAD_REQUEST = new Reply(400, EMPTY_BODY, 0);
  static final Reply NOT_FOUND = new Reply(404, EMPTY_BODY, 0);

  /** May have been done or not: makes no promise. */
  static final Reply OUTCOME_UNKNOWN = new Reply(504, EMPTY_BODY, 0);

  /** When a job that did not fit is to come again, in seconds. */
  private static final double MIN_OVER_QUOTA_RETRY_S = 0.7;

  private static final double OVER_QUOTA_RETRY_JITTER_S = 0.7;

  private final Random random;

  BatchReplies(Random random) {
    this.random = random;
  }

  /** Surely not done and not to be done because of this call. */
  Reply unavailable() {
    return new Reply(503, EMPTY_BODY, 0.2 + random.nextDouble() * 0.3);
  }

  /**
   * Does not fit. Items run for seconds, so a place comes late; jitter, so that many which were
   * refused together do not come back together.
   */
  Reply overQuota() {
    return new Reply(
        429, EMPTY_BODY, MIN_OVER_QUOTA_RETRY_S + random.nextDouble() * OVER_QUOTA_RETRY_JITTER_S);
  }

  /** Where nothing was to be changed, any failure is a 503. */
  static boolean mayHaveTakenEffect(Throwable failure) {
    ErrorCode code = ElmsailException.codeOf(failure);
    return code != ErrorCode.NO_QUORUM
        && code != ErrorCode.NOT_SENT
        && code != ErrorCode.RESOURCE_EXHAUSTED
        && code != ErrorCode.NOT_A_VOTER;
  }
}
