package elmsail.app;

import elmsail.runtime.AddressUnavailableException;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;

/**
 * The exit codes of the programs. Besides them the runtime exits with 3 if it runs out of memory
 * ({@code -XX:+ExitOnOutOfMemoryError}).
 */
enum ExitCode {
  /** The work is done, or the process was shut down gracefully after SIGTERM. */
  OK(0),

  /** The program could not start or could not read its input. */
  FAILED(1),

  /** The command line, the settings or the configuration to check are invalid. */
  INVALID_USAGE(2);

  private final int code;

  ExitCode(int code) {
    this.code = code;
  }

  /** The code that the process exits with. */
  int code() {
    return code;
  }

  /** The exit code of a program that could not start for this reason. */
  static ExitCode ofStartFailure(Throwable failure) {
    if (AddressUnavailableException.findIn(failure).isPresent()) {
      return FAILED;
    }
    return ElmsailException.codeOf(failure) == ErrorCode.INVALID_SETTINGS ? INVALID_USAGE : FAILED;
  }
}
