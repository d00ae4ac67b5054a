package elmsail.batch.api;

import elmsail.batch.BatchService.Reply;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import java.util.Random;

/** The replies that several batch calls have in common. */
final class BatchReplies {
  static final byte[] EMPTY_BODY = {};
  static final Reply ACCEPTED = new Reply(202, EMPTY_BODY, 0);
  static final Reply OK = new Reply(200, EMPTY_BODY, 0);
  static final Reply BAD_REQUEST = new Reply(400, EMPTY_BODY, 0);
  static final Reply NOT_FOUND = new Reply(404, EMPTY_BODY, 0);

  /** A key is needed, and the caller has none. */
  static final Reply UNAUTHORIZED = new Reply(401, EMPTY_BODY, 0);

  /** The id is that of another tenant's job. The call takes no effect. */
  static final Reply CONFLICT = new Reply(409, EMPTY_BODY, 0);

  /** The call may have taken effect or not; this promises nothing. */
  static final Reply OUTCOME_UNKNOWN = new Reply(504, EMPTY_BODY, 0);

  private static final double MIN_UNAVAILABLE_RETRY_S = 0.2;
  private static final double UNAVAILABLE_RETRY_JITTER_S = 0.3;
  private static final double MIN_OVER_QUOTA_RETRY_S = 0.7;
  private static final double OVER_QUOTA_RETRY_JITTER_S = 0.7;

  private final Random random;

  BatchReplies(Random random) {
    this.random = random;
  }

  /** 503: the call has certainly taken no effect and never will. */
  Reply unavailable() {
    return new Reply(
        503,
        EMPTY_BODY,
        MIN_UNAVAILABLE_RETRY_S + random.nextDouble() * UNAVAILABLE_RETRY_JITTER_S);
  }

  /**
   * 429: the job does not fit into the limit of its tenant on its route. Items run for seconds, so
   * capacity comes late; the jitter keeps jobs that were rejected together from returning together.
   */
  Reply overQuota() {
    return new Reply(
        429, EMPTY_BODY, MIN_OVER_QUOTA_RETRY_S + random.nextDouble() * OVER_QUOTA_RETRY_JITTER_S);
  }

  /** Whether a change that failed so may have taken effect nonetheless, or may still do so. */
  static boolean mayHaveTakenEffect(Throwable failure) {
    ErrorCode code = ElmsailException.codeOf(failure);
    return code != ErrorCode.NO_QUORUM
        && code != ErrorCode.NOT_SENT
        && code != ErrorCode.RESOURCE_EXHAUSTED
        && code != ErrorCode.NOT_A_VOTER;
  }
}
