package elmsail.runtime;

/** Every failure of the tier: unchecked, told apart by its code. */
public class ElmsailException extends RuntimeException {
  private static final long serialVersionUID = 1;

  private final ErrorCode code;
  private final String detail;

  /** A failure without a cause of its own; the message is the code, a colon and {@code detail}. */
  public ElmsailException(ErrorCode code, String detail) {
    this(code, detail, null);
  }

  /**
   * A failure with its cause. Only a FAULT has a stack trace: the other codes are ordinary events.
   */
  public ElmsailException(ErrorCode code, String detail, Throwable cause) {
    super(code + ": " + detail, cause, true, code == ErrorCode.INTERNAL);
    this.code = code;
    this.detail = detail;
  }

  /** What kind of failure it is; callers decide by this alone. */
  public ErrorCode code() {
    return code;
  }

  /** What happened, without the code. */
  public String detail() {
    return detail;
  }

  /** The code of whatever was thrown, wrapped by futures or not. */
  public static ErrorCode codeOf(Throwable thrown) {
    for (Throwable t = thrown; t != null; t = t.getCause()) {
      if (t instanceof ElmsailException failure) {
        return failure.code;
      }
    }
    return ErrorCode.INTERNAL;
  }
}
