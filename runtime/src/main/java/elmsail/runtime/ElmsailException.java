package elmsail.runtime;

/** Every failure of the tier: unchecked, told apart by its code. */
public class ElmsailException extends RuntimeException {
  private static final long serialVersionUID = 1;

  private final ErrorCode code;

  public ElmsailException(ErrorCode code, String detail) {
    this(code, detail, null);
  }

  public ElmsailException(ErrorCode code, String detail, Throwable cause) {
    super(code + ": " + detail, cause, true, code == ErrorCode.FAULT);
    this.code = code;
  }

  public ErrorCode code() {
    return code;
  }

  /** The code of whatever was thrown, wrapped by futures or not. */
  public static ErrorCode codeOf(Throwable thrown) {
    for (Throwable t = thrown; t != null; t = t.getCause()) {
      if (t instanceof ElmsailException e) {
        return e.code;
      }
    }
    return ErrorCode.FAULT;
  }
}
