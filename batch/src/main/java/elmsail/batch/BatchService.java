package elmsail.batch;

import elmsail.config.Route;
import java.util.concurrent.CompletableFuture;

/**
 * The batch API that a gateway serves to clients. All methods are called on the gateway's event
 * loop. The returned futures complete on that loop and never fail.
 *
 * <p>The caller is already authenticated: the tenant is the one whose key the request carries, or
 * {@link TenantName#NONE} where no key is needed. A job does not exist for any tenant other than
 * its owner.
 */
public interface BatchService {

  /**
   * The reply to a client.
   *
   * @param status the HTTP status; 0 means that the outcome is unknown, so that the gateway closes
   *     the connection without a response
   * @param body JSON or bytes, may be empty
   * @param retryAfterS the delay after which the client may retry, in seconds; 0 for no such hint
   */
  record Reply(int status, byte[] body, double retryAfterS) {}

  /**
   * Submits a job: {@code POST} under the prefix of a batch route.
   *
   * @param tenant the tenant of the caller, which owns the job from now on
   * @param body the JSON of the job
   * @param deadlineMs the time within which the reply is due, in ms from now
   */
  CompletableFuture<Reply> submit(
      TenantName tenant, Route route, String jobId, byte[] body, long deadlineMs);

  /**
   * Reads the results of a job: {@code GET /lots/ID?after=N}.
   *
   * @param tenant the tenant of the caller
   * @param after the number of results that the client has already read
   * @param waitMs the longest time to wait for a further result, in ms
   */
  CompletableFuture<Reply> readResults(TenantName tenant, String jobId, long after, long waitMs);

  /**
   * Reads the body of an item as it was submitted: {@code GET /items/LOT?id=ITEM}.
   *
   * @param tenant the tenant of the caller
   */
  CompletableFuture<Reply> readItemBody(TenantName tenant, String jobId, String itemId);

  /**
   * Cancels a job, or discards a complete job: {@code DELETE /lots/ID}.
   *
   * @param tenant the tenant of the caller
   */
  CompletableFuture<Reply> cancel(TenantName tenant, String jobId);
}
