package elmsail.controlplane;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;

/**
 * The value of the register's key "timetable": the configuration in force as the operator sent it,
 * and which ones were taken lately, so that one sent again is known.
 *
 * @param edition 0: none was ever taken
 * @param bytes as sent; empty where there is none
 * @param recentEditions at most {@value #KEPT}, rising; the last is {@code edition}
 * @param digests of the bytes of each
 */
record ConfigHistory(long edition, byte[] bytes, long[] recentEditions, byte[][] digests) {
  static final ConfigHistory NONE = new ConfigHistory(0, new byte[0], new long[0], new byte[0][]);

  static final int KEPT = 64;

  private static final int DIGEST_BYTES = 16;

  /** Reads a register's value; null is none. */
  static ConfigHistory of(byte[] value) {
    if (value == null) {
      return NONE;
    }
    try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(value))) {
      long edition = in.readLong();
      int count = in.readInt();
      if (count < 0 || count > KEPT) {
        throw new ElmsailException(ErrorCode.GARBLED, "editions kept: " + count);
      }
      long[] recent = new long[count];
      byte[][] digests = new byte[count][];
      for (int i = 0; i < count; i++) {
        recent[i] = in.readLong();
        digests[i] = in.readNBytes(DIGEST_BYTES);
      }
      return new ConfigHistory(edition, in.readAllBytes(), recent, digests);
    } catch (IOException e) {
      throw new ElmsailException(ErrorCode.GARBLED, "editions", e);
    }
  }

  byte[] value() {
    ByteArrayOutputStream bytesOut = new ByteArrayOutputStream(bytes.length + 24 * KEPT + 16);
    try (DataOutputStream out = new DataOutputStream(bytesOut)) {
      out.writeLong(edition);
      out.writeInt(recentEditions.length);
      for (int i = 0; i < recentEditions.length; i++) {
        out.writeLong(recentEditions[i]);
        out.write(digests[i]);
      }
      out.write(bytes);
    } catch (IOException e) {
      throw new ElmsailException(ErrorCode.FAULT, "editions", e);
    }
    return bytesOut.toByteArray();
  }

  /** Whether just these bytes were taken under this number. */
  boolean taken(long number, byte[] digest) {
    for (int i = recentEditions.length - 1; i >= 0; i--) {
      if (recentEditions[i] == number) {
        return Arrays.equals(digests[i], digest);
      }
    }
    return false;
  }

  /** The value after this one. */
  ConfigHistory followedBy(long number, byte[] sent, byte[] digest) {
    int from = Math.max(0, recentEditions.length + 1 - KEPT);
    int count = recentEditions.length - from;
    long[] recent = Arrays.copyOfRange(recentEditions, from, from + count + 1);
    byte[][] kept = Arrays.copyOfRange(digests, from, from + count + 1);
    recent[count] = number;
    kept[count] = digest;
    return new ConfigHistory(number, sent, recent, kept);
  }

  static byte[] digest(byte[] sent) {
    try {
      return Arrays.copyOf(MessageDigest.getInstance("SHA-256").digest(sent), DIGEST_BYTES);
    } catch (NoSuchAlgorithmException e) {
      throw new ElmsailException(ErrorCode.FAULT, "SHA-256", e);
    }
  }
}
