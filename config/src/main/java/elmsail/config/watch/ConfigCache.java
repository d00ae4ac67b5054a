package elmsail.config.watch;

import elmsail.config.RoutingConfig;
import elmsail.config.RoutingConfigReader;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The newest routing configuration that this process has received. Its version only increases, so a
 * late or repeated update never restores an older configuration. Owned by the event loop.
 */
final class ConfigCache {
  private static final Logger LOG = LoggerFactory.getLogger(ConfigCache.class);

  private RoutingConfig config;
  private byte[] bytes;

  /** The newest configuration; null before the first. */
  RoutingConfig config() {
    return config;
  }

  /** The newest configuration as the bytes that the operator sent; null before the first. */
  byte[] bytes() {
    return bytes;
  }

  /** The version of the newest configuration; 0 before the first. */
  long version() {
    return config == null ? 0 : config.version();
  }

  /**
   * Offers an update that was announced with a version.
   *
   * @return whether it is newer than the cached configuration and replaced it
   * @throws ElmsailException INVALID_ARGUMENT if it is not a valid configuration, MALFORMED if its
   *     version differs from the announced one; the cache then stays unchanged
   */
  boolean offer(long announcedVersion, byte[] newBytes) {
    if (announcedVersion <= version()) {
      return false;
    }
    RoutingConfig decoded = RoutingConfigReader.read(newBytes);
    if (decoded.version() != announcedVersion) {
      throw new ElmsailException(
          ErrorCode.MALFORMED,
          "configuration: announced version " + announcedVersion + ", found " + decoded.version());
    }
    return replace(newBytes, decoded);
  }

  /**
   * Offers a configuration whose version is known only from its content.
   *
   * @return whether it is newer than the cached configuration and replaced it
   * @throws ElmsailException INVALID_ARGUMENT if it is not a valid configuration
   */
  boolean offer(byte[] newBytes) {
    return replace(newBytes, RoutingConfigReader.read(newBytes));
  }

  private boolean replace(byte[] newBytes, RoutingConfig decoded) {
    if (decoded.version() <= version()) {
      return false;
    }
    LOG.info("configuration {} is in force, after {}", decoded.version(), version());
    config = decoded;
    bytes = newBytes;
    return true;
  }
}
