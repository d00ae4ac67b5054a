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

  private final Random chance;

  Replies(Random chance) {
    this.chance = chance;
  }

  /** Surely not done and not to be done because of this call. */
  Reply unable() {
    return new Reply(503, EMPTY, 0.2 + chance.nextDouble() * 0.3);
  }

  /** Does not fit: jitter, so that two which refused each other do not meet again. */
  Reply full() {
    return new Reply(429, EMPTY, 0.3 + chance.nextDouble() * 0.9);
  }

  /** Where nothing was to be changed, any failure is a 503. */
  static boolean mayHold(Throwable failed) {
    ErrorCode code = ElmsailException.codeOf(failed);
    return code != ErrorCode.NOT_REACHED
        && code != ErrorCode.UNSENT
        && code != ErrorCode.FULL
        && code != ErrorCode.NOT_SEATED;
  }
}
