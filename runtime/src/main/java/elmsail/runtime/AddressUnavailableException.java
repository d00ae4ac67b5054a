package elmsail.runtime;

import java.util.Optional;

/**
 * A listen address that cannot be bound, most often because another process holds it. Its code is
 * {@code INVALID_SETTINGS}: the operator frees the address or changes the settings.
 */
public final class AddressUnavailableException extends ElmsailException {
  private static final long serialVersionUID = 1;

  private final String address;

  /**
   * @param address ip:port, as in the settings
   * @param cause what the operating system says
   */
  public AddressUnavailableException(String address, Throwable cause) {
    super(
        ErrorCode.INVALID_SETTINGS,
        "cannot listen at " + address + ": " + cause.getMessage(),
        cause);
    this.address = address;
  }

  /** The address that cannot be bound, ip:port. */
  public String address() {
    return address;
  }

  /** The one among a failure and its causes; empty if there is none. */
  public static Optional<AddressUnavailableException> findIn(Throwable failure) {
    for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
      if (cause instanceof AddressUnavailableException unavailable) {
        return Optional.of(unavailable);
      }
    }
    return Optional.empty();
  }
}
