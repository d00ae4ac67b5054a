package elmsail.controlplane;

import elmsail.config.ConfigAmendment;
import elmsail.config.RoutingConfigReader;

/** The body of an operator's order, read: what it makes of the configuration in force. */
interface ConfigChange {
  /** The number of the configuration that it makes. */
  long version();

  /**
   * The configuration that it makes, checked whole.
   *
   * @param current the configuration in force, empty where there is none
   * @throws elmsail.runtime.ElmsailException BAD_CALL if that would be invalid
   */
  byte[] applyTo(byte[] current);

  /** Reads the body of one kind of order. */
  @FunctionalInterface
  interface Reader {
    /** Fails with BAD_CALL or GARBLED where no configuration could make the body valid. */
    ConfigChange read(byte[] body);
  }

  /** A whole configuration that takes the place of the one in force. */
  static ConfigChange replacement(byte[] body) {
    return new Replacement(RoutingConfigReader.read(body).version(), body);
  }

  /** A change of named items of the configuration in force. */
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
