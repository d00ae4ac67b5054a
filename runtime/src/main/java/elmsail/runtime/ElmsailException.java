package elmsail.runtime;

/** The root of all failures of the tier. Unchecked; callers decide by its {@link ErrorCode}. */
public class ElmsailException extends RuntimeException {
  private static final long serialVersionUID = 1;

  private final ErrorCode code;
  private final String detail;

  /** A failure without a cause; the message is the code, a colon and {@code detail}. */
  public ElmsailException(ErrorCode code, String detail) {
    this(code, detail, null);
  }

  /**
   * A failure with its cause. Only {@code INTERNAL} has a stack trace: the other codes are ordinary
   * events, some of them frequent.
   */
  public ElmsailException(ErrorCode code, String detail, Throwable cause) {
    super(code + ": " + detail, cause, true, code == ErrorCode.INTERNAL);
    this.code = code;
    this.detail = detail;
  }

  /** The kind of failure. */
  public ErrorCode code() {
    return code;
  }

  /** What happened, as text without the code. */
  public String detail() {
    return detail;
  }

  /**
   * The code of the first {@code ElmsailException} in the chain of causes; {@code INTERNAL} if
   * there is none. Unwraps what futures wrap.
   */
  public static ErrorCode codeOf(Throwable thrown) {
    for (Throwable t = thrown; t != null; t = t.getCause()) {
      if (t instanceof ElmsailException failure) {
        return failure.code;
      }
    }
    return ErrorCode.INTERNAL;
  }
}
