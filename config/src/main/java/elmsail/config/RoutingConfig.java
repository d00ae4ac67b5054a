package elmsail.config;

import java.util.Map;

/**
 * A configuration, checked: made by {@code RoutingConfigReader.read(byte[])}, looked up by host and
 * path.
 */
public interface RoutingConfig {
  /** The number of this version; a higher one is newer. */
  long version();

  /**
   * The route of the host whose prefix begins the path and is longest, or null. {@code host} may
   * have a port.
   */
  Route match(String host, String path);

  /** The route of that name, or null. */
  Route routeByName(String name);

  /** All services by their names. */
  Map<String, Service> services();

  /** The limits that hold for every client connection. */
  ClientLimits limits();

  /** What a client may send: bytes of head and body, ms for the head, ms idle. */
  record ClientLimits(
      int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {}
}
