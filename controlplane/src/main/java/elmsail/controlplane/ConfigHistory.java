package elmsail.controlplane;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;

/**
 * The register's value of the routing configuration: the current configuration and the latest
 * changes that led to it, by which a repeated change is recognized.
 *
 * <p>A change is identified by its kind, its base version and its body, which contains the new
 * version. A change is committed only if its base is the current version, and its new version is
 * higher than its base. The committed changes therefore form a chain of rising versions, in which
 * each version except the current one is the base of exactly one successor. The history keeps the
 * base and a digest of the last {@value #MAX_CHANGES} changes. If the current version is V and the
 * oldest change in the history has the base O, one committed value proves the following about a
 * change with the base B:
 *
 * <ul>
 *   <li>B = V: no change based on B is committed yet, so neither is this change. It may be
 *       committed now.
 *   <li>O &lt;= B &lt; V: if the change was committed, the history contains it as B's successor. If
 *       B's successor is another change, or B is not a version of the chain, the change was not
 *       committed and never will be: every later value descends from this value, and no later
 *       change has the base B. This also holds for an earlier attempt that reached only a minority,
 *       because every ballot above the committed one proposes a descendant of the committed value.
 *   <li>B &lt; O: the change may have been committed and dropped from the history.
 *   <li>B &gt; V: B may still be committed, and another node may be attempting this change. Nothing
 *       is proved.
 * </ul>
 *
 * <p>In the last two cases the reply must leave the outcome open. Immutable.
 */
final class ConfigHistory {
  /** The maximum number of changes in the history. */
  static final int MAX_CHANGES = 1_024;

  /**
   * Short, because a digest is only compared with the digest of the one change with the same base.
   */
  static final int DIGEST_BYTES = 8;

  static final ConfigHistory EMPTY = new ConfigHistory(0, new byte[0], new long[0], new byte[0]);

  /** The first byte of an encoded value; values in the legacy format begin with 0. */
  private static final byte FORMAT_VERSION = 2;

  /** Format, current version, count of changes, base version of the oldest change. */
  private static final int HEADER_BYTES = 1 + 8 + 4 + 8;

  private static final int MAX_CHANGE_BYTES = 10 + DIGEST_BYTES;

  private static final String VALUE_NAME = "configuration history";

  private static final int LEGACY_MAX_CHANGES = 64;
  private static final int LEGACY_CHANGE_BYTES = 8 + 16;

  private static final byte[] REPLACEMENT_DIGEST_PREFIX = {};
  private static final byte[] AMENDMENT_DIGEST_PREFIX = "amend".getBytes(StandardCharsets.US_ASCII);

  private final long version;
  private final byte[] configBytes;

  /**
   * In ascending order; each except the first is the version that the preceding change produced.
   */
  private final long[] baseVersions;

  /** {@value #DIGEST_BYTES} bytes for each element of {@code baseVersions}. */
  private final byte[] digests;

  private ConfigHistory(long version, byte[] configBytes, long[] baseVersions, byte[] digests) {
    this.version = version;
    this.configBytes = configBytes;
    this.baseVersions = baseVersions;
    this.digests = digests;
  }

  /** The current version; 0 if no configuration was ever committed. */
  long version() {
    return version;
  }

  /** The current configuration as JSON; empty if no configuration was ever committed. */
  byte[] configBytes() {
    return configBytes;
  }

  /** The number of changes in the history. */
  int changeCount() {
    return baseVersions.length;
  }

  /**
   * Returns what is proved about the change with that base version and digest: see the class
   * comment.
   */
  ConfigChangeStatus statusOf(long baseVersion, byte[] digest) {
    if (baseVersion >= version) {
      return baseVersion == version
          ? ConfigChangeStatus.APPLICABLE
          : ConfigChangeStatus.BASE_NOT_COMMITTED;
    }
    if (baseVersions.length == 0 || baseVersion < baseVersions[0]) {
      return ConfigChangeStatus.BASE_DROPPED_FROM_HISTORY;
    }
    int index = Arrays.binarySearch(baseVersions, baseVersion);
    return index >= 0 && Arrays.equals(digestAt(index), digest)
        ? ConfigChangeStatus.COMMITTED
        : ConfigChangeStatus.SUPERSEDED;
  }

  private byte[] digestAt(int index) {
    return Arrays.copyOfRange(digests, index * DIGEST_BYTES, (index + 1) * DIGEST_BYTES);
  }

  /**
   * Returns the history with one more change, based on the current version; drops the oldest change
   * if the history is full.
   */
  ConfigHistory append(long newVersion, byte[] newConfigBytes, byte[] digest) {
    int firstKept = Math.max(0, baseVersions.length + 1 - MAX_CHANGES);
    int keptCount = baseVersions.length - firstKept;
    long[] nextBases = Arrays.copyOfRange(baseVersions, firstKept, firstKept + keptCount + 1);
    nextBases[keptCount] = version;
    byte[] nextDigests =
        Arrays.copyOfRange(
            digests, firstKept * DIGEST_BYTES, (firstKept + keptCount + 1) * DIGEST_BYTES);
    System.arraycopy(digest, 0, nextDigests, keptCount * DIGEST_BYTES, DIGEST_BYTES);
    return new ConfigHistory(newVersion, newConfigBytes, nextBases, nextDigests);
  }

  /** Digest of the base version and the body that identifies a replacement. */
  static byte[] replacementDigest(long baseVersion, byte[] body) {
    return digest(REPLACEMENT_DIGEST_PREFIX, baseVersion, body);
  }

  /**
   * Digest of the base version and the body that identifies an amendment; differs from the digest
   * of a replacement with the same body.
   */
  static byte[] amendmentDigest(long baseVersion, byte[] body) {
    return digest(AMENDMENT_DIGEST_PREFIX, baseVersion, body);
  }

  private static byte[] digest(byte[] prefix, long baseVersion, byte[] body) {
    try {
      MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
      sha256.update(prefix);
      sha256.update(ByteBuffer.allocate(Long.BYTES).putLong(baseVersion).array());
      return Arrays.copyOf(sha256.digest(body), DIGEST_BYTES);
    } catch (NoSuchAlgorithmException e) {
      throw new ElmsailException(ErrorCode.INTERNAL, "SHA-256", e);
    }
  }

  /** Encodes the register's value in the current format. */
  byte[] encode() {
    int expectedBytes = HEADER_BYTES + MAX_CHANGE_BYTES * baseVersions.length + configBytes.length;
    return ValueCodec.encode(VALUE_NAME, expectedBytes, this::writeTo);
  }

  private void writeTo(DataOutputStream out) throws IOException {
    out.writeByte(FORMAT_VERSION);
    out.writeLong(version);
    out.writeInt(baseVersions.length);
    out.writeLong(baseVersions.length == 0 ? 0 : baseVersions[0]);
    for (int i = 0; i < baseVersions.length; i++) {
      long nextVersion = i + 1 < baseVersions.length ? baseVersions[i + 1] : version;
      writeVarint(out, nextVersion - baseVersions[i]);
      out.write(digests, i * DIGEST_BYTES, DIGEST_BYTES);
    }
    out.write(configBytes);
  }

  /**
   * Decodes a value of the register; null yields the empty history. The changes in a value of the
   * legacy format are discarded, because their digests do not cover the base version; their status
   * is BASE_DROPPED_FROM_HISTORY.
   *
   * @throws ElmsailException MALFORMED if the value cannot be decoded
   */
  static ConfigHistory decode(byte[] value) {
    if (value == null) {
      return EMPTY;
    }
    boolean isLegacyFormat = value.length > 0 && value[0] == 0;
    return ValueCodec.decode(
        VALUE_NAME,
        value,
        isLegacyFormat ? ConfigHistory::decodeLegacyFormat : ConfigHistory::decodeCurrentFormat);
  }

  private static ConfigHistory decodeCurrentFormat(DataInputStream in) throws IOException {
    int format = in.readByte();
    if (format != FORMAT_VERSION) {
      throw malformed("format " + format + ", expected " + FORMAT_VERSION);
    }
    long version = in.readLong();
    int count = ValueCodec.readCount(in, VALUE_NAME, MAX_CHANGES);
    long[] baseVersions = new long[count];
    byte[] digests = new byte[count * DIGEST_BYTES];
    long nextVersion = in.readLong();
    for (int i = 0; i < count; i++) {
      baseVersions[i] = nextVersion;
      nextVersion += readVarint(in);
      in.readFully(digests, i * DIGEST_BYTES, DIGEST_BYTES);
      if (nextVersion <= baseVersions[i]) {
        throw malformed("version " + nextVersion + " is not above its base " + baseVersions[i]);
      }
    }
    if (count > 0 && nextVersion != version) {
      throw malformed("the last change produces version " + nextVersion + ", expected " + version);
    }
    return new ConfigHistory(version, in.readAllBytes(), baseVersions, digests);
  }

  private static ConfigHistory decodeLegacyFormat(DataInputStream in) throws IOException {
    long version = in.readLong();
    int count = ValueCodec.readCount(in, VALUE_NAME + " of the legacy format", LEGACY_MAX_CHANGES);
    in.skipNBytes((long) count * LEGACY_CHANGE_BYTES);
    return new ConfigHistory(version, in.readAllBytes(), new long[0], new byte[0]);
  }

  /**
   * Writes seven bits per byte, least significant first; the top bit is set if more bytes follow.
   */
  private static void writeVarint(DataOutputStream out, long value) throws IOException {
    long remaining = value;
    while ((remaining & ~0x7FL) != 0) {
      out.writeByte((int) (remaining & 0x7F | 0x80));
      remaining >>>= 7;
    }
    out.writeByte((int) remaining);
  }

  private static long readVarint(DataInputStream in) throws IOException {
    long value = 0;
    for (int shift = 0; shift < Long.SIZE; shift += 7) {
      int next = in.readUnsignedByte();
      value |= (long) (next & 0x7F) << shift;
      if ((next & 0x80) == 0) {
        return value;
      }
    }
    throw malformed("varint of more than 64 bits");
  }

  private static ElmsailException malformed(String detail) {
    return new ElmsailException(ErrorCode.MALFORMED, VALUE_NAME + ": " + detail);
  }
}
