package elmsail.batch.api;

import elmsail.batch.TenantName;
import elmsail.batch.client.BatchContext;
import elmsail.batch.messages.JobRecord;
import elmsail.config.RoutingConfig;

/**
 * Which jobs a caller may read, cancel and submit again. To others a job does not exist, which is
 * known only once its record was read.
 *
 * @param tenant of the caller
 */
record JobAccess(BatchContext context, TenantName tenant) {

  /**
   * Whether the caller may access the job: it is the caller's own, or one without a tenant. Where
   * the configuration has no tenants, callers cannot show who they are and may access all jobs.
   */
  boolean permits(JobRecord record) {
    RoutingConfig config = context.clusterState().config();
    boolean callersAreAuthenticated = config != null && config.requiresKeys();
    return !callersAreAuthenticated || record.tenant().isNone() || record.tenant().equals(tenant);
  }
}
