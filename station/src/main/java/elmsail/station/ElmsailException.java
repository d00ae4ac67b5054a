package elmsail.station;

/** Every failure of the tier: unchecked, told apart by its code. */
public class ElmsailException extends RuntimeException {
  private static final long serialVersionUID = 1;

  private final Code code;

  public ElmsailException(Code code, String detail) {
    this(code, detail, null);
  }

  public ElmsailException(Code code, String detail, Throwable cause) {
    super(code + ": " + detail, cause, true, code == Code.FAULT);
    this.code = code;
  }

  public Code code() {
    return code;
  }

  /** The code of whatever was thrown, wrapped by futures or not. */
  public static Code codeOf(Throwable thrown) {
    for (Throwable t = thrown; t != null; t = t.getCause()) {
      if (t instanceof ElmsailException e) {
        return e.code;
      }
    }
    return Code.FAULT;
  }
}
