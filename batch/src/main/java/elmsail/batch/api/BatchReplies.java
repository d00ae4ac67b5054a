package elmsail.batch.api;

import elmsail.batch.BatchService.Reply;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import java.util.Random;

/** The replies shared by the handlers of batch calls. */
final class BatchReplies {
  static final byte[] EMPTY_BODY = {};
  static final Reply ACCEPTED = new Reply(202, EMPTY_BODY, 0);
  static final Reply OK = new Reply(200, EMPTY_BODY, 0);
  static final Reply BAD_REQUEST = new Reply(400, EMPTY_BODY, 0);
  static final Reply NOT_FOUND = new Reply(404, EMPTY_BODY, 0);

  /** The call requires an API key, and the caller has sent none. */
  static final Reply UNAUTHORIZED = new Reply(401, EMPTY_BODY, 0);

  /** The job id belongs to another tenant's job. The call has no effect. */
  static final Reply CONFLICT = new Reply(409, EMPTY_BODY, 0);

  /** It is unknown whether the call has taken effect or will take effect later. */
  static final Reply OUTCOME_UNKNOWN = new Reply(504, EMPTY_BODY, 0);

  private static final double MIN_UNAVAILABLE_RETRY_S = 0.2;
  private static final double UNAVAILABLE_RETRY_JITTER_S = 0.3;
  private static final double MIN_OVER_QUOTA_RETRY_S = 0.7;
  private static final double OVER_QUOTA_RETRY_JITTER_S = 0.7;

  private final Random random;

  BatchReplies(Random random) {
    this.random = random;
  }

  /** Returns a 503 reply: the call has not taken effect and never will. */
  Reply unavailable() {
    return new Reply(
        503,
        EMPTY_BODY,
        MIN_UNAVAILABLE_RETRY_S + random.nextDouble() * UNAVAILABLE_RETRY_JITTER_S);
  }

  /**
   * Returns a 429 reply: the job exceeds the limit of its tenant on its route. The retry delay is
   * longer than that of {@link #unavailable} because items run for seconds before capacity becomes
   * free. The jitter keeps clients whose jobs were rejected at the same time from retrying at the
   * same time.
   */
  Reply overQuota() {
    return new Reply(
        429, EMPTY_BODY, MIN_OVER_QUOTA_RETRY_S + random.nextDouble() * OVER_QUOTA_RETRY_JITTER_S);
  }

  /** Whether a change that failed with this exception may have taken effect or may do so later. */
  static boolean mayHaveTakenEffect(Throwable failure) {
    ErrorCode code = ElmsailException.codeOf(failure);
    return code != ErrorCode.NO_QUORUM
        && code != ErrorCode.NOT_SENT
        && code != ErrorCode.RESOURCE_EXHAUSTED
        && code != ErrorCode.NOT_A_VOTER;
  }
}
