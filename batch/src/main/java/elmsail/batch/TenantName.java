package elmsail.batch;

import java.util.Objects;

/**
 * The name of the tenant that a job belongs to, or whose key a caller has shown. It is kept with
 * the job; keys are not.
 *
 * @param value as configured; empty for {@link #NONE}
 */
public record TenantName(String value) {
  /** No tenant: of an open route, or where the configuration has no tenants. */
  public static final TenantName NONE = new TenantName("");

  /** The name as configured; not null. */
  public TenantName {
    Objects.requireNonNull(value);
  }

  /** Whether there is no tenant. */
  public boolean isNone() {
    return value.isEmpty();
  }
}
