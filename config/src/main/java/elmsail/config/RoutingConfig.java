package elmsail.config;

import java.util.Map;

/**
 * A configuration, checked: made by {@code RoutingConfigReader.read(byte[])}, looked up by host and
 * path.
 */
public interface RoutingConfig {
  long edition();

  /**
   * The route of the host whose prefix begins the path and is longest, or null. {@code host} may
   * have a port.
   */
  Route find(String host, String path);

  Route named(String name);

  Map<String, Service> services();

  ClientLimits limits();

  /** What a client may send: bytes of head and body, ms for the head, ms idle. */
  record ClientLimits(int headBytes, int bodyBytes, long headMs, long idleMs) {}
}
