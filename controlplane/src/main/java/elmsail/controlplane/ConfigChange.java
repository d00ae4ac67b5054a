package elmsail.controlplane;

import elmsail.config.ConfigAmendment;
import elmsail.config.RoutingConfigReader;

/** An operator's change of the routing configuration, parsed from the body of the call. */
interface ConfigChange {
  /** The version of the configuration that it makes. */
  long version();

  /**
   * The configuration that it makes of the current one, validated.
   *
   * @param current JSON of the current configuration; empty if there is none
   * @throws elmsail.runtime.ElmsailException INVALID_ARGUMENT if the result would be invalid
   */
  byte[] applyTo(byte[] current);

  /** Parses the body of one kind of change. */
  @FunctionalInterface
  interface Reader {
    /** Fails with INVALID_ARGUMENT or MALFORMED if no current configuration makes it valid. */
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
