package elmsail.lots;

import elmsail.timetable.Route;
import java.util.concurrent.CompletableFuture;

/** The calls of clients about lots, as a clerk serves them; futures complete on the loop and never fail. */
public interface LotCalls {

  /**
   * An answer. Status 0: the outcome is unclear, so the connection is to be closed without an answer.
   *
   * @param body JSON or bytes, may be empty
   * @param retryAfterS seconds, or 0 for none
   */
  record Reply(int status, byte[] body, double retryAfterS) {
  }

  /** {@code POST} under a sack route's prefix. */
  CompletableFuture<Reply> handIn(Route route, String lotId, byte[] body, long deadlineMs);

  /** {@code GET /lots/ID?after=N}. */
  CompletableFuture<Reply> read(String lotId, long after, long waitMs);

  /** {@code GET /items/LOT?id=ITEM}. */
  CompletableFuture<Reply> item(String lotId, String itemId);

  /** {@code DELETE /lots/ID}. */
  CompletableFuture<Reply> end(String lotId);
}
