package elmsail.batch.api;

import elmsail.batch.TenantName;
import elmsail.batch.client.BatchContext;
import elmsail.batch.messages.JobRecord;
import elmsail.config.RoutingConfig;

/**
 * Decides which jobs a caller may read, cancel and submit again. A caller without access to a job
 * gets the same reply to a read or a cancellation as for a job that does not exist. The decision
 * needs the record of the job, so the record must be read first.
 *
 * @param tenant the tenant of the caller
 */
record JobAccess(BatchContext context, TenantName tenant) {

  /**
   * Whether the caller may access the job, which must belong to the caller's tenant or to no
   * tenant. If the configuration requires no keys, callers cannot be authenticated and may access
   * all jobs.
   */
  boolean permits(JobRecord record) {
    RoutingConfig config = context.clusterState().config();
    boolean callersAreAuthenticated = config != null && config.requiresKeys();
    return !callersAreAuthenticated || record.tenant().isNone() || record.tenant().equals(tenant);
  }
}
