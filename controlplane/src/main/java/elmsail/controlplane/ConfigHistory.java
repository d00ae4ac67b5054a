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
 * {@value #REMEMBERED} of them the base and a digest are remembered. From one decided value this
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
  static final int REMEMBERED = 1_024;

  /** Compared with one remembered order only, the one with the same base. */
  static final int DIGEST_BYTES = 8;

  static final ConfigHistory NONE = new ConfigHistory(0, new byte[0], new long[0], new byte[0]);

  /** The first byte of a value; values of the format before it begin with 0. */
  private static final byte FORMAT = 2;

  /** Format, number in force, count of orders remembered, base of the oldest. */
  private static final int HEAD_BYTES = 1 + 8 + 4 + 8;

  private static final int MOST_ORDER_BYTES = 10 + DIGEST_BYTES;

  private static final int OLD_FORMAT_MOST = 64;
  private static final int OLD_FORMAT_ORDER_BYTES = 8 + 16;

  private static final byte[] NO_PREFIX = {};
  private static final byte[] AMENDMENT_PREFIX = "amend".getBytes(StandardCharsets.US_ASCII);

  private final long edition;
  private final byte[] bytes;

  /** Rising; each is the number of the order before it. */
  private final long[] bases;

  /** {@value #DIGEST_BYTES} bytes for each of {@code bases}. */
  private final byte[] digests;

  private ConfigHistory(long edition, byte[] bytes, long[] bases, byte[] digests) {
    this.edition = edition;
    this.bytes = bytes;
    this.bases = bases;
    this.digests = digests;
  }

  /** The number in force; 0 where none was ever taken. */
  long edition() {
    return edition;
  }

  /** The configuration in force as it was sent; empty where there is none. */
  byte[] bytes() {
    return bytes;
  }

  /** How many orders are remembered. */
  int remembered() {
    return bases.length;
  }

  /** What is certain of the order with that base and that digest: see above. */
  OrderStanding standing(long base, byte[] digest) {
    if (base >= edition) {
      return base == edition ? OrderStanding.NEXT : OrderStanding.AHEAD;
    }
    if (bases.length == 0 || base < bases[0]) {
      return OrderStanding.FORGOTTEN;
    }
    int at = Arrays.binarySearch(bases, base);
    return at >= 0 && Arrays.equals(digestAt(at), digest)
        ? OrderStanding.TAKEN
        : OrderStanding.SUPERSEDED;
  }

  private byte[] digestAt(int at) {
    return Arrays.copyOfRange(digests, at * DIGEST_BYTES, (at + 1) * DIGEST_BYTES);
  }

  /** The value after this one: an order on top of the configuration in force is taken. */
  ConfigHistory followedBy(long number, byte[] sent, byte[] digest) {
    int from = Math.max(0, bases.length + 1 - REMEMBERED);
    int kept = bases.length - from;
    long[] nextBases = Arrays.copyOfRange(bases, from, from + kept + 1);
    nextBases[kept] = edition;
    byte[] nextDigests =
        Arrays.copyOfRange(digests, from * DIGEST_BYTES, (from + kept + 1) * DIGEST_BYTES);
    System.arraycopy(digest, 0, nextDigests, kept * DIGEST_BYTES, DIGEST_BYTES);
    return new ConfigHistory(number, sent, nextBases, nextDigests);
  }

  /** Identifies an order for a whole configuration: of its base and its bytes. */
  static byte[] digest(long base, byte[] sent) {
    return digest(NO_PREFIX, base, sent);
  }

  /** Identifies an order that amends the configuration: likewise, and told apart from the other. */
  static byte[] amendmentDigest(long base, byte[] sent) {
    return digest(AMENDMENT_PREFIX, base, sent);
  }

  private static byte[] digest(byte[] prefix, long base, byte[] sent) {
    try {
      MessageDigest sha = MessageDigest.getInstance("SHA-256");
      sha.update(prefix);
      sha.update(ByteBuffer.allocate(Long.BYTES).putLong(base).array());
      return Arrays.copyOf(sha.digest(sent), DIGEST_BYTES);
    } catch (NoSuchAlgorithmException e) {
      throw new ElmsailException(ErrorCode.INTERNAL, "SHA-256", e);
    }
  }

  /** The register's value. */
  byte[] value() {
    ByteArrayOutputStream value =
        new ByteArrayOutputStream(HEAD_BYTES + MOST_ORDER_BYTES * bases.length + bytes.length);
    try (DataOutputStream out = new DataOutputStream(value)) {
      out.writeByte(FORMAT);
      out.writeLong(edition);
      out.writeInt(bases.length);
      out.writeLong(bases.length == 0 ? 0 : bases[0]);
      for (int i = 0; i < bases.length; i++) {
        long number = i + 1 < bases.length ? bases[i + 1] : edition;
        writeSmall(out, number - bases[i]);
        out.write(digests, i * DIGEST_BYTES, DIGEST_BYTES);
      }
      out.write(bytes);
    } catch (IOException e) {
      throw new ElmsailException(ErrorCode.INTERNAL, "configuration history", e);
    }
    return value.toByteArray();
  }

  /**
   * Reads a register's value; null is none. Of a value in the format before this one no order is
   * taken over, as its digests say nothing of the base: they all count as forgotten.
   */
  static ConfigHistory of(byte[] value) {
    if (value == null) {
      return NONE;
    }
    try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(value))) {
      if (value.length > 0 && value[0] == 0) {
        return ofOldFormat(in);
      }
      int format = in.readByte();
      if (format != FORMAT) {
        throw garbled("format " + format);
      }
      return read(in);
    } catch (IOException e) {
      throw new ElmsailException(ErrorCode.MALFORMED, "configuration history", e);
    }
  }

  private static ConfigHistory read(DataInputStream in) throws IOException {
    long edition = in.readLong();
    int count = in.readInt();
    if (count < 0 || count > REMEMBERED) {
      throw garbled("orders remembered: " + count);
    }
    long[] bases = new long[count];
    byte[] digests = new byte[count * DIGEST_BYTES];
    long number = in.readLong();
    for (int i = 0; i < count; i++) {
      bases[i] = number;
      number += readSmall(in);
      in.readFully(digests, i * DIGEST_BYTES, DIGEST_BYTES);
      if (number <= bases[i]) {
        throw garbled("numbers that do not rise");
      }
    }
    if (count > 0 && number != edition) {
      throw garbled("a chain that ends at " + number + " in place of " + edition);
    }
    return new ConfigHistory(edition, in.readAllBytes(), bases, digests);
  }

  private static ConfigHistory ofOldFormat(DataInputStream in) throws IOException {
    long edition = in.readLong();
    int count = in.readInt();
    if (count < 0 || count > OLD_FORMAT_MOST) {
      throw garbled("orders remembered in the old format: " + count);
    }
    in.skipNBytes((long) count * OLD_FORMAT_ORDER_BYTES);
    return new ConfigHistory(edition, in.readAllBytes(), new long[0], new byte[0]);
  }

  /** Seven bits a byte, the low ones first, the top bit set where more follow. */
  private static void writeSmall(DataOutputStream out, long number) throws IOException {
    long left = number;
    while ((left & ~0x7FL) != 0) {
      out.writeByte((int) (left & 0x7F | 0x80));
      left >>>= 7;
    }
    out.writeByte((int) left);
  }

  private static long readSmall(DataInputStream in) throws IOException {
    long number = 0;
    for (int shift = 0; shift < Long.SIZE; shift += 7) {
      int next = in.readUnsignedByte();
      number |= (long) (next & 0x7F) << shift;
      if ((next & 0x80) == 0) {
        return number;
      }
    }
    throw garbled("a number of more than 64 bits");
  }

  private static ElmsailException garbled(String what) {
    return new ElmsailException(ErrorCode.MALFORMED, "configuration history: " + what);
  }
}
