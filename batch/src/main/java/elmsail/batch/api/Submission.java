package elmsail.batch.api;

import elmsail.batch.BatchItem;
import elmsail.batch.TenantName;
import elmsail.config.Route;
import java.util.List;

/**
 * A validated request to submit a job.
 *
 * @param tenant the tenant of the caller
 * @param route the route that the job is submitted on, as configured when the call arrived
 * @param timeoutMs the time from the arrival of the call within which the reply is due, in ms
 */
record Submission(
    TenantName tenant, String jobId, Route route, List<BatchItem> items, long timeoutMs) {

  /** The sum of the tokens of all items. */
  long tokens() {
    long sum = 0;
    for (BatchItem item : items) {
      sum += item.tokens();
    }
    return sum;
  }
}
