package willowdoor.purge;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * The id of a purge, which every gateway computes identically from the customer and the caller's
 * key.
 */
public record PurgeId(long high, long low) {

  public static PurgeId of(String customer, String key) {
    ByteBuffer hash = ByteBuffer.wrap(sha256(customer + '\n' + key));
    return new PurgeId(hash.getLong(), hash.getLong());
  }

  /** Parses the text that {@link #toString} returns; returns null for any other text. */
  static PurgeId parse(String text) {
    if (text.length() != 32
        || !text.chars().allMatch(c -> c >= '0' && c <= '9' || c >= 'a' && c <= 'f')) {
      return null;
    }
    return new PurgeId(
        HexFormat.fromHexDigitsToLong(text, 0, 16), HexFormat.fromHexDigitsToLong(text, 16, 32));
  }

  static byte[] sha256(String text) {
    try {
      return MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(
          "SHA-256 is not available, but every Java platform must provide it", e);
    }
  }

  @Override
  public String toString() {
    return HexFormat.of().toHexDigits(high) + HexFormat.of().toHexDigits(low);
  }
}
