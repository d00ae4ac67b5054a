package elmsail.batch.messages;

import java.nio.charset.StandardCharsets;

/**
 * A 64-bit hash that is the same in all processes: FNV-1a, followed by the finalizer of
 * MurmurHash3. It is used for names and for ordering and is not cryptographic.
 */
public final class ContentDigest {
  private ContentDigest() {}

  /** The digest of these bytes. */
  public static long of(byte[] bytes) {
    long hash = 0xcbf29ce484222325L;
    for (byte next : bytes) {
      hash = (hash ^ (next & 0xff)) * 0x100000001b3L;
    }
    hash = (hash ^ hash >>> 33) * 0xff51afd7ed558ccdL;
    hash = (hash ^ hash >>> 33) * 0xc4ceb9fe1a85ec53L;
    return hash ^ hash >>> 33;
  }

  /** The digest of the string in UTF-8. */
  public static long of(String text) {
    return of(text.getBytes(StandardCharsets.UTF_8));
  }
}
