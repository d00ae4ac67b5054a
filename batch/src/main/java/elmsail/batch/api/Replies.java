package elmsail.batch.api;

import elmsail.batch.BatchCalls.Reply;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import java.util.Random;

/** The answers that are alike for all calls. */
final class Replies {
  static final byte[] EMPTY = {};
  static final Reply ACCEPTED = new Reply(202, EMPTY, 0);
  static final Reply DONE = new Reply(200, EMPTY, 0);
  static final Reply MALFORMED = new Reply(400, EMPTY, 0);
  static final Reply NONE = new Reply(404, EMPTY, 0);

  /** May have been done or not: makes no promise. */
  static final Reply UNCLEAR = new Reply(504, EMPTY, 0);

  /** When a job that did not fit is to come again, in seconds. */
  private static final double FULL_LEAST_S = 0.7;

  private static final double FULL_SPREAD_S = 0.7;

  private final Random chance;

  Replies(Random chance) {
    this.chance = chance;
  }

  /** Surely not done and not to be done because of this call. */
  Reply unable() {
    return new Reply(503, EMPTY, 0.2 + chance.nextDouble() * 0.3);
  }

  /**
   * Does not fit. Items run for seconds, so a place comes late; jitter, so that many which were
   * refused together do not come back together.
   */
  Reply full() {
    return new Reply(429, EMPTY, FULL_LEAST_S + chance.nextDouble() * FULL_SPREAD_S);
  }

  /** Where nothing was to be changed, any failure is a 503. */
  static boolean mayHold(Throwable failed) {
    ErrorCode code = ElmsailException.codeOf(failed);
    return code != ErrorCode.NO_QUORUM
        && code != ErrorCode.NOT_SENT
        && code != ErrorCode.RESOURCE_EXHAUSTED
        && code != ErrorCode.NOT_A_VOTER;
  }
}
