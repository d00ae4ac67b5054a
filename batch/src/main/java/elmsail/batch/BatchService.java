package elmsail.batch;

import elmsail.config.Route;
import java.util.concurrent.CompletableFuture;

/**
 * The batch calls of clients, as a gateway serves them. All methods are called on the gateway's
 * event loop; the futures complete there and never fail.
 *
 * <p>Each call is of an authenticated caller: of the tenant whose key it carries, or of {@link
 * TenantName#NONE} where no key is needed. To all but its tenant a job does not exist.
 */
public interface BatchService {

  /**
   * The reply to a client.
   *
   * @param status of HTTP; 0 closes the connection without a response, as the outcome is unknown
   * @param body JSON or bytes, may be empty
   * @param retryAfterS when the client may try again, in seconds; 0 if that is not said
   */
  record Reply(int status, byte[] body, double retryAfterS) {}

  /**
   * Submits a job: {@code POST} under the prefix of a batch route.
   *
   * @param tenant of the caller, who owns the job from now on
   * @param body the JSON of the job
   * @param deadlineMs within which the reply is due, in ms from now
   */
  CompletableFuture<Reply> submit(
      TenantName tenant, Route route, String jobId, byte[] body, long deadlineMs);

  /**
   * Reads the results of a job: {@code GET /lots/ID?after=N}.
   *
   * @param tenant of the caller
   * @param after the number of results that the client has
   * @param waitMs how long to wait for a further result, in ms
   */
  CompletableFuture<Reply> readResults(TenantName tenant, String jobId, long after, long waitMs);

  /**
   * Reads the body of an item as it was submitted: {@code GET /items/LOT?id=ITEM}.
   *
   * @param tenant of the caller
   */
  CompletableFuture<Reply> readItemBody(TenantName tenant, String jobId, String itemId);

  /**
   * Cancels a job, or discards a complete one: {@code DELETE /lots/ID}.
   *
   * @param tenant of the caller
   */
  CompletableFuture<Reply> cancel(TenantName tenant, String jobId);
}
