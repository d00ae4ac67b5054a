package elmsail.controlplane;

import elmsail.config.ConfigAmendment;
import elmsail.config.RoutingConfigReader;

/** An operator's change to the routing configuration, parsed from the request body. */
interface ConfigChange {
  /** The version of the configuration that results from this change. */
  long version();

  /**
   * Applies this change to the current configuration and validates the result.
   *
   * @param current the current configuration as JSON; empty if there is none
   * @throws elmsail.runtime.ElmsailException INVALID_ARGUMENT if the result would be invalid
   */
  byte[] applyTo(byte[] current);

  /** Parses the body of one kind of change. */
  @FunctionalInterface
  interface Reader {
    /**
     * Fails with INVALID_ARGUMENT or MALFORMED if the change is invalid whatever the current
     * configuration is.
     */
    ConfigChange read(byte[] body);
  }

  /** Parses a configuration that replaces the current one. */
  static ConfigChange replacement(byte[] body) {
    return new Replacement(RoutingConfigReader.read(body).version(), body);
  }

  /** Parses a change of named items of the current configuration. */
  static ConfigChange amendment(byte[] body) {
    return new Amendment(ConfigAmendment.read(body));
  }

  /** See {@link #replacement}. */
  record Replacement(long version, byte[] body) implements ConfigChange {
    @Override
    public byte[] applyTo(byte[] current) {
      return body;
    }
  }

  /** See {@link #amendment}. */
  record Amendment(ConfigAmendment change) implements ConfigChange {
    private static final byte[] NO_FIELDS = {'{', '}'};

    @Override
    public long version() {
      return change.version();
    }

    @Override
    public byte[] applyTo(byte[] current) {
      byte[] amended = change.applyTo(current.length == 0 ? NO_FIELDS : current);
      RoutingConfigReader.read(amended);
      return amended;
    }
  }
}
