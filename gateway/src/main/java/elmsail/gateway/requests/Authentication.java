package elmsail.gateway.requests;

import elmsail.batch.TenantName;
import elmsail.config.Tenant;
import elmsail.gateway.http.RequestCounters;
import java.util.Optional;

/** Whether a request may be served, and for which tenant. Immutable. */
public sealed interface Authentication {
  /** The name of the tenant that the request is served for; empty if there is none. */
  default Optional<String> tenantName() {
    return Optional.empty();
  }

  /** The request is served for the tenant whose key it carries. */
  record OfTenant(Tenant tenant) implements Authentication {
    @Override
    public Optional<String> tenantName() {
      return Optional.of(tenant.name());
    }
  }

  /**
   * An item of a batch job is served for the job's tenant, even if the key that submitted the job
   * has been revoked since.
   */
  record OfJob(TenantName tenant) implements Authentication {
    @Override
    public Optional<String> tenantName() {
      return Optional.of(tenant.value());
    }
  }

  /** The request is served for no tenant. */
  enum Anonymous implements Authentication {
    /**
     * The request carries no known key and its route is open, or it is an item of a batch job
     * without a tenant.
     */
    OPEN_ROUTE,
    /** The configuration has no tenants, so keys are ignored. */
    NO_TENANTS
  }

  /** The request is not served. */
  record Refused(Reason reason) implements Authentication {}

  /** Why a request is not served. */
  enum Reason {
    /** The request carries a key of no tenant, no key, several keys or a malformed key. */
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

    /** The event that is counted for the refusal. */
    public RequestCounters.Event event() {
      return event;
    }
  }
}
