package elmsail.batch;

import elmsail.config.Route;
import java.util.concurrent.CompletableFuture;

/**
 * The calls of clients about jobs, as a gateway serves them; futures complete on the loop and never
 * fail.
 */
public interface BatchService {

  /**
   * An answer. Status 0: the outcome is unclear, so the connection is to be closed without an
   * answer.
   *
   * @param body JSON or bytes, may be empty
   * @param retryAfterS seconds, or 0 for none
   */
  record Reply(int status, byte[] body, double retryAfterS) {}

  /** {@code POST} under a sack route's prefix. */
  CompletableFuture<Reply> submit(Route route, String jobId, byte[] body, long deadlineMs);

  /** {@code GET /lots/ID?after=N}. */
  CompletableFuture<Reply> readResults(String jobId, long after, long waitMs);

  /** {@code GET /items/LOT?id=ITEM}. */
  CompletableFuture<Reply> readItemBody(String jobId, String itemId);

  /** {@code DELETE /lots/ID}. */
  CompletableFuture<Reply> cancel(String jobId);
}
