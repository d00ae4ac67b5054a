package elmsail.controlplane;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;

/**
 * The value of the register's key "timetable": the configuration in force as the operator sent it,
 * or as amendments made it of that, and the orders that led to it, so that one sent again is known.
 *
 * <p>An order is its call, its base and its bytes (which hold its number). A change is made only on
 * the configuration in force, and its number is higher than its base, so the orders taken form a
 * chain of rising numbers in which each number is the base of exactly one successor. For the last
 * {@value #MAX_CHANGES} of them the base and a digest are remembered. From one decided value this
 * follows for an order with base B, where the configuration in force has number E and the oldest
 * remembered order the base O:
 *
 * <ul>
 *   <li>B = E: nothing was taken on B yet, this order neither. It may be taken now.
 *   <li>O &lt;= B &lt; E: had it been taken, then on B, and it would be remembered as B's
 *       successor. If it is, it was taken. If B's successor is another, or B is no number of the
 *       chain, it was not taken and never will be: every later value descends from this one, and
 *       none of its descendants has base B. That is also true of an earlier attempt at it that only
 *       reached a minority, because no ballot above the decided one proposes anything but a
 *       descendant.
 *   <li>B &lt; O: it may have been taken and forgotten.
 *   <li>B &gt; E: B may come into force yet, and an attempt at this order may already be under way
 *       elsewhere. Nothing is certain.
 * </ul>
 *
 * <p>In the last two cases the only truthful answer is one that leaves it open.
 */
final class ConfigHistory {
  /** How many orders are remembered, at most. */
  static final int MAX_CHANGES = 1_024;

  /** Compared with one remembered order only, the one with the same base. */
  static final int DIGEST_BYTES = 8;

  static final ConfigHistory EMPTY = new ConfigHistory(0, new byte[0], new long[0], new byte[0]);

  /** The first byte of a value; values of the format before it begin with 0. */
  private static final byte FORMAT_VERSION = 2;

  /** Format, number in force, count of orders remembered, base of the oldest. */
  private static final int HEADER_BYTES = 1 + 8 + 4 + 8;

  private static final int MAX_CHANGE_BYTES = 10 + DIGEST_BYTES;

  private static final int LEGACY_MAX_CHANGES = 64;
  private static final int LEGACY_CHANGE_BYTES = 8 + 16;

  private static final byte[] REPLACEMENT_DIGEST_PREFIX = {};
  private static final byte[] AMENDMENT_DIGEST_PREFIX = "amend".getBytes(StandardCharsets.US_ASCII);

  private final long version;
  private final byte[] configBytes;

  /** Rising; each is the number of the order before it. */
  private final long[] baseVersions;

  /** {@value #DIGEST_BYTES} bytes for each of {@code bases}. */
  private final byte[] digests;

  private ConfigHistory(long version, byte[] configBytes, long[] baseVersions, byte[] digests) {
    this.version = version;
    this.configBytes = configBytes;
    this.baseVersions = baseVersions;
    this.digests = digests;
  }

  /** The number in force; 0 where none was ever taken. */
  long version() {
    return version;
  }

  /** The configuration in force as it was sent; empty where there is none. */
  byte[] configBytes() {
    return configBytes;
  }

  /** How many orders are remembered. */
  int changeCount() {
    return baseVersions.length;
  }

  /** What is certain of the order with that base and that digest: see above. */
  ConfigChangeStatus statusOf(long baseVersion, byte[] digest) {
    if (baseVersion >= version) {
      return baseVersion == version
          ? ConfigChangeStatus.APPLICABLE
          : ConfigChangeStatus.BASE_NOT_COMMITTED;
    }
    if (baseVersions.length == 0 || baseVersion < baseVersions[0]) {
      return ConfigChangeStatus.BASE_FORGOTTEN;
    }
    int index = Arrays.binarySearch(baseVersions, baseVersion);
    return index >= 0 && Arrays.equals(digestAt(index), digest)
        ? ConfigChangeStatus.COMMITTED
        : ConfigChangeStatus.SUPERSEDED;
  }

  private byte[] digestAt(int index) {
    return Arrays.copyOfRange(digests, index * DIGEST_BYTES, (index + 1) * DIGEST_BYTES);
  }

  /** The value after this one: an order on top of the configuration in force is taken. */
  ConfigHistory append(long number, byte[] body, byte[] digest) {
    int firstKept = Math.max(0, baseVersions.length + 1 - MAX_CHANGES);
    int keptCount = baseVersions.length - firstKept;
    long[] nextBases = Arrays.copyOfRange(baseVersions, firstKept, firstKept + keptCount + 1);
    nextBases[keptCount] = version;
    byte[] nextDigests =
        Arrays.copyOfRange(
            digests, firstKept * DIGEST_BYTES, (firstKept + keptCount + 1) * DIGEST_BYTES);
    System.arraycopy(digest, 0, nextDigests, keptCount * DIGEST_BYTES, DIGEST_BYTES);
    return new ConfigHistory(number, body, nextBases, nextDigests);
  }

  /** Identifies an order for a whole configuration: of its base and its bytes. */
  static byte[] replacementDigest(long baseVersion, byte[] body) {
    return replacementDigest(REPLACEMENT_DIGEST_PREFIX, baseVersion, body);
  }

  /** Identifies an order that amends the configuration: likewise, and told apart from the other. */
  static byte[] amendmentDigest(long baseVersion, byte[] body) {
    return replacementDigest(AMENDMENT_DIGEST_PREFIX, baseVersion, body);
  }

  private static byte[] replacementDigest(byte[] prefix, long baseVersion, byte[] body) {
    try {
      MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
      sha256.update(prefix);
      sha256.update(ByteBuffer.allocate(Long.BYTES).putLong(baseVersion).array());
      return Arrays.copyOf(sha256.digest(body), DIGEST_BYTES);
    } catch (NoSuchAlgorithmException e) {
      throw new ElmsailException(ErrorCode.INTERNAL, "SHA-256", e);
    }
  }

  /** The register's value. */
  byte[] encode() {
    ByteArrayOutputStream value =
        new ByteArrayOutputStream(
            HEADER_BYTES + MAX_CHANGE_BYTES * baseVersions.length + configBytes.length);
    try (DataOutputStream out = new DataOutputStream(value)) {
      out.writeByte(FORMAT_VERSION);
      out.writeLong(version);
      out.writeInt(baseVersions.length);
      out.writeLong(baseVersions.length == 0 ? 0 : baseVersions[0]);
      for (int i = 0; i < baseVersions.length; i++) {
        long number = i + 1 < baseVersions.length ? baseVersions[i + 1] : version;
        writeVarint(out, number - baseVersions[i]);
        out.write(digests, i * DIGEST_BYTES, DIGEST_BYTES);
      }
      out.write(configBytes);
    } catch (IOException e) {
      throw new ElmsailException(ErrorCode.INTERNAL, "configuration history", e);
    }
    return value.toByteArray();
  }

  /**
   * Reads a register's value; null is none. Of a value in the format before this one no order is
   * taken over, as its digests say nothing of the base: they all count as forgotten.
   */
  static ConfigHistory decode(byte[] value) {
    if (value == null) {
      return EMPTY;
    }
    try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(value))) {
      if (value.length > 0 && value[0] == 0) {
        return decodeLegacyFormat(in);
      }
      int format = in.readByte();
      if (format != FORMAT_VERSION) {
        throw malformed("format " + format);
      }
      return decodeCurrentFormat(in);
    } catch (IOException e) {
      throw new ElmsailException(ErrorCode.MALFORMED, "configuration history", e);
    }
  }

  private static ConfigHistory decodeCurrentFormat(DataInputStream in) throws IOException {
    long version = in.readLong();
    int count = in.readInt();
    if (count < 0 || count > MAX_CHANGES) {
      throw malformed("orders remembered: " + count);
    }
    long[] baseVersions = new long[count];
    byte[] digests = new byte[count * DIGEST_BYTES];
    long number = in.readLong();
    for (int i = 0; i < count; i++) {
      baseVersions[i] = number;
      number += readVarint(in);
      in.readFully(digests, i * DIGEST_BYTES, DIGEST_BYTES);
      if (number <= baseVersions[i]) {
        throw malformed("numbers that do not rise");
      }
    }
    if (count > 0 && number != version) {
      throw malformed("a chain that ends at " + number + " in place of " + version);
    }
    return new ConfigHistory(version, in.readAllBytes(), baseVersions, digests);
  }

  private static ConfigHistory decodeLegacyFormat(DataInputStream in) throws IOException {
    long version = in.readLong();
    int count = in.readInt();
    if (count < 0 || count > LEGACY_MAX_CHANGES) {
      throw malformed("orders remembered in the old format: " + count);
    }
    in.skipNBytes((long) count * LEGACY_CHANGE_BYTES);
    return new ConfigHistory(version, in.readAllBytes(), new long[0], new byte[0]);
  }

  /** Seven bits a byte, the low ones first, the top bit set where more follow. */
  private static void writeVarint(DataOutputStream out, long number) throws IOException {
    long remaining = number;
    while ((remaining & ~0x7FL) != 0) {
      out.writeByte((int) (remaining & 0x7F | 0x80));
      remaining >>>= 7;
    }
    out.writeByte((int) remaining);
  }

  private static long readVarint(DataInputStream in) throws IOException {
    long number = 0;
    for (int shift = 0; shift < Long.SIZE; shift += 7) {
      int next = in.readUnsignedByte();
      number |= (long) (next & 0x7F) << shift;
      if ((next & 0x80) == 0) {
        return number;
      }
    }
    throw malformed("a number of more than 64 bits");
  }

  private static ElmsailException malformed(String what) {
    return new ElmsailException(ErrorCode.MALFORMED, "configuration history: " + what);
  }
}
