package elmsail.batch.messages;

import elmsail.batch.TenantName;
import java.util.List;

/**
 * The properties of a job that are set when the job is accepted and never change.
 *
 * @param routeName the route that the job was submitted on; the tokens of the job count against the
 *     limit of this route
 * @param host the host of that route; the routes of the items are looked up under this host
 * @param configVersion the version of the configuration when the job was accepted; an earlier
 *     configuration may lack the routes of this job
 * @param completionTargetMs when the results are due, in ms after the job was accepted
 * @param itemTtlMs when items without a result may be given up, in ms after the job was accepted; 0
 *     means never
 * @param bodyBlobName the name of the blob with the requests of the items, see {@link JobBodyCodec}
 * @param items the items in the order in which the client submitted them
 * @param tenant the tenant whose key the job was submitted with; the job counts against the limit
 *     of this tenant, and its items run for this tenant even after the tenant's keys were revoked
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

  /** Creates the description of a job without a tenant. */
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
