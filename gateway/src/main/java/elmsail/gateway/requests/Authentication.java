package elmsail.gateway.requests;

import elmsail.batch.TenantName;
import elmsail.config.Tenant;
import elmsail.gateway.http.RequestCounters;
import java.util.Optional;

/** Whether a request may be served, and in whose name. Immutable. */
public sealed interface Authentication {
  /** The name of the tenant that is served; empty if none is. */
  default Optional<String> tenantName() {
    return Optional.empty();
  }

  /** Served in the name of the tenant whose key the request carries. */
  record OfTenant(Tenant tenant) implements Authentication {
    @Override
    public Optional<String> tenantName() {
      return Optional.of(tenant.name());
    }
  }

  /** An item of a batch job, served in the name of the job's tenant, whatever became of its key. */
  record OfJob(TenantName tenant) implements Authentication {
    @Override
    public Optional<String> tenantName() {
      return Optional.of(tenant.value());
    }
  }

  /** Served in nobody's name. */
  enum Anonymous implements Authentication {
    /**
     * The route is open and the request carries no known key, or it is an item without a tenant.
     */
    OPEN_ROUTE,
    /** The configuration has no tenants, and no key is looked at. */
    NO_TENANTS
  }

  /** Not served. */
  record Refused(Reason reason) implements Authentication {}

  /** Why a request is not served. */
  enum Reason {
    /** No tenant has its key, or it carries none, several or a malformed one. */
    UNKNOWN_KEY(401, RequestCounters.Event.REJECTED_KEY),
    /** The gateway cannot tell which keys are in force. */
    NOT_CONFIRMED(503, RequestCounters.Event.REJECTED_NOT_CONFIRMED);

    private final int status;
    private final RequestCounters.Event event;

    Reason(int status, RequestCounters.Event event) {
      this.status = status;
      this.event = event;
    }

    /** The status of the local reply. */
    public int status() {
      return status;
    }

    /** What is counted. */
    public RequestCounters.Event event() {
      return event;
    }
  }
}
