package elmsail.batch;

import java.util.Objects;

/**
 * The name of the tenant that owns a job, or whose key a caller has presented. The name is stored
 * with the job; keys are not stored.
 *
 * @param value the configured name; empty for {@link #NONE}
 */
public record TenantName(String value) {
  /** No tenant: for routes that need no key and for configurations without tenants. */
  public static final TenantName NONE = new TenantName("");

  /** Rejects null. */
  public TenantName {
    Objects.requireNonNull(value);
  }

  /** Whether there is no tenant. */
  public boolean isNone() {
    return value.isEmpty();
  }
}
