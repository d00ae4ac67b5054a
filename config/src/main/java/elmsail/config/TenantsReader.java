package elmsail.config;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Reads and validates the tenants of a configuration and their keys. Stateless. */
final class TenantsReader {
  private TenantsReader() {}

  /**
   * The tenants by each of their keys; empty if the configuration has no list of tenants. For a
   * list without any key the result is an empty map, and no request is admitted by a key.
   *
   * <p>The messages of exceptions contain no keys, because operators' tools log these messages.
   */
  static Optional<Map<String, Tenant>> read(ConfigFields root) {
    if (!root.has("senders")) {
      return Optional.empty();
    }
    Map<String, Tenant> tenantsByKey = new HashMap<>();
    Set<String> names = new HashSet<>();
    for (ConfigFields fields : root.requiredObjects("senders")) {
      Tenant tenant =
          new Tenant(fields.requiredString("name"), fields.nonNegativeIntOr("precedence", 0));
      if (!names.add(tenant.name())) {
        throw fields.invalid("name", "two tenants are called " + tenant.name());
      }
      addKeys(fields, tenant, tenantsByKey);
    }
    return Optional.of(tenantsByKey);
  }

  private static void addKeys(
      ConfigFields fields, Tenant tenant, Map<String, Tenant> tenantsByKey) {
    if (!fields.has("passes")) {
      return;
    }
    for (String key : fields.requiredStrings("passes")) {
      Tenant other = tenantsByKey.put(key, tenant);
      if (other != null && other != tenant) {
        throw fields.invalid("passes", other.name() + " has one of these keys too");
      }
    }
  }
}
