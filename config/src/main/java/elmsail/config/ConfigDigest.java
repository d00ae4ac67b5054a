package elmsail.config;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** A digest that identifies a configuration by its bytes. Stateless. */
public final class ConfigDigest {
  private ConfigDigest() {}

  /** The SHA-256 digest in 64 lower-case hex digits; the same in every process and release. */
  public static String of(byte[] bytes) {
    try {
      return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
    } catch (NoSuchAlgorithmException e) {
      throw new ElmsailException(
          ErrorCode.INTERNAL,
          "SHA-256 is not available, although every Java platform has to provide it",
          e);
    }
  }
}
