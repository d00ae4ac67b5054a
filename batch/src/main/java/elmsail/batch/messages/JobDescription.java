package elmsail.batch.messages;

import elmsail.batch.TenantName;
import java.util.List;

/**
 * What is fixed of a job when it is accepted.
 *
 * @param routeName the route that the job was submitted on; its tokens count against that route's
 *     limit
 * @param host the host of that route; the routes of the items are looked up under it
 * @param configVersion of the configuration at the acceptance; an earlier configuration says
 *     nothing of the routes of this job
 * @param completionTargetMs when the results are due, in ms after the acceptance
 * @param itemTtlMs when items without a result may be given up, in ms after the acceptance; 0 is
 *     never
 * @param bodyBlobName the blob that holds the requests of the items, see {@link JobBodyCodec}
 * @param items in the order in which the client submitted them
 * @param tenant whose key the job was submitted with; its tokens count together with the tenant's
 *     others, and its items are run in its name, also after its keys were taken away
 */
public record JobDescription(
    String routeName,
    String host,
    long configVersion,
    long completionTargetMs,
    long itemTtlMs,
    String bodyBlobName,
    List<JobRecord.Item> items,
    TenantName tenant) {

  /** A job without a tenant. */
  public JobDescription(
      String routeName,
      String host,
      long configVersion,
      long completionTargetMs,
      long itemTtlMs,
      String bodyBlobName,
      List<JobRecord.Item> items) {
    this(
        routeName,
        host,
        configVersion,
        completionTargetMs,
        itemTtlMs,
        bodyBlobName,
        items,
        TenantName.NONE);
  }
}
