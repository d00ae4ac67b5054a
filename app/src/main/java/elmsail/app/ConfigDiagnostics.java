package elmsail.app;

import com.typesafe.config.ConfigException;
import com.typesafe.config.ConfigFactory;
import com.typesafe.config.ConfigList;
import com.typesafe.config.ConfigObject;
import com.typesafe.config.ConfigParseOptions;
import com.typesafe.config.ConfigRenderOptions;
import com.typesafe.config.ConfigSyntax;
import com.typesafe.config.ConfigValue;
import com.typesafe.config.ConfigValueFactory;
import elmsail.config.RoutingConfigReader;
import elmsail.runtime.ElmsailException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * All faults of a configuration: the first one of each route, each service, the limits and the
 * version. {@link RoutingConfigReader} stops at the first fault, so the document is read again and
 * again without the parts found invalid so far.
 */
final class ConfigDiagnostics {
  private static final String EDITION = "edition";
  private static final String LIMITS = "limits";
  private static final String ROUTES = "routes";
  private static final String SERVICES = "postal_lines";
  private static final ConfigValue EMPTY_LIST = ConfigValueFactory.fromIterable(List.of());

  private final Set<String> faults = new LinkedHashSet<>();
  private final ConfigObject root;

  private ConfigDiagnostics(ConfigObject root) {
    this.root = root;
  }

  /** The faults, one line each with the path of its key; empty if the configuration is valid. */
  static List<String> of(byte[] bytes) {
    String firstFault = faultOf(bytes);
    if (firstFault == null) {
      return List.of();
    }
    ConfigObject root;
    try {
      root =
          ConfigFactory.parseString(
                  new String(bytes, StandardCharsets.UTF_8),
                  ConfigParseOptions.defaults().setSyntax(ConfigSyntax.JSON))
              .root();
    } catch (ConfigException e) {
      return List.of(firstFault);
    }
    ConfigDiagnostics diagnostics = new ConfigDiagnostics(root);
    diagnostics.addFault(firstFault);
    diagnostics.collect();
    return List.copyOf(diagnostics.faults);
  }

  private static String faultOf(byte[] bytes) {
    try {
      RoutingConfigReader.read(bytes);
      return null;
    } catch (ElmsailException e) {
      return e.detail().replace('\n', ' ').replace('\r', ' ');
    }
  }

  private static String faultOf(ConfigObject part) {
    return faultOf(part.render(ConfigRenderOptions.concise()).getBytes(StandardCharsets.UTF_8));
  }

  private void collect() {
    ConfigObject bare =
        ConfigValueFactory.fromMap(Map.of(EDITION, 1))
            .withValue(SERVICES, EMPTY_LIST)
            .withValue(ROUTES, EMPTY_LIST);
    addFault(faultOf(with(bare.withoutKey(EDITION), EDITION)));
    addFault(faultOf(with(bare, LIMITS)));
    collectFromList(bare, SERVICES);
    collectFromList(bare.withValue(SERVICES, placeholderServices()), ROUTES);
  }

  private ConfigObject with(ConfigObject part, String key) {
    return root.containsKey(key) ? part.withValue(key, root.get(key)) : part;
  }

  private void addFault(String fault) {
    if (fault != null) {
      faults.add(fault);
    }
  }

  /**
   * A minimal valid service of each name, so that routes do not fail for their services' faults.
   */
  private ConfigValue placeholderServices() {
    Set<String> names = new LinkedHashSet<>();
    if (root.get(SERVICES) instanceof ConfigList services) {
      for (ConfigValue service : services) {
        if (service instanceof ConfigObject one
            && one.get("name") != null
            && one.get("name").unwrapped() instanceof String name
            && !name.isEmpty()) {
          names.add(name);
        }
      }
    }
    List<Map<String, String>> plain = new ArrayList<>(names.size());
    for (String name : names) {
      plain.add(Map.of("name", name));
    }
    return ConfigValueFactory.fromIterable(plain);
  }

  /** Collects the faults of a list's elements, with their indexes in the complete list. */
  private void collectFromList(ConfigObject around, String key) {
    if (!(root.get(key) instanceof ConfigList all)) {
      addFault(faultOf(with(around.withoutKey(key), key)));
      return;
    }
    List<ConfigValue> remaining = new ArrayList<>(all);
    List<Integer> indexes = new ArrayList<>(remaining.size());
    for (int i = 0; i < remaining.size(); i++) {
      indexes.add(i);
    }
    while (true) {
      String fault = faultOf(around.withValue(key, ConfigValueFactory.fromIterable(remaining)));
      if (fault == null) {
        return;
      }
      int end = fault.indexOf(']');
      if (!fault.startsWith(key + "[") || end < 0) {
        faults.add(fault);
        return;
      }
      int at = Integer.parseInt(fault.substring(key.length() + 1, end));
      faults.add(key + "[" + indexes.get(at) + fault.substring(end));
      remaining.remove(at);
      indexes.remove(at);
    }
  }
}
