package elmsail.batch.messages;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The waiting tokens of the jobs of one route, as one store counts them or merged from several
 * stores. For each job the entry of the highest version stands, so that merging is commutative and
 * idempotent. A job with a reservation that is not accepted yet has version 0. Not thread-safe.
 */
public final class WaitingTokens {
  /** The version of a job that is reserved and not accepted yet. */
  public static final long RESERVED_VERSION = 0;

  /**
   * The newest count of one job.
   *
   * @param version of the job's record, or {@link #RESERVED_VERSION}
   */
  private record Entry(long version, long tokens) {
    boolean isReservation() {
      return version <= RESERVED_VERSION;
    }

    boolean isReplacedBy(long newVersion, long newTokens) {
      return newVersion > version || newVersion == version && newTokens > tokens;
    }
  }

  /** By the digest of the job's id. */
  private final Map<Long, Entry> entries = new HashMap<>();

  /**
   * What a gateway sends to the stores with the first round of a submission: this job is about to
   * wait on that route with so many tokens.
   *
   * @param attemptId random, so that the withdrawal of one attempt leaves the reservations of
   *     others
   */
  public record Reservation(String routeName, String jobId, long tokens, long attemptId) {
    /** A reservation of no tokens: it only reads the count of its route. */
    public Reservation withoutTokens() {
      return new Reservation(routeName, jobId, 0, attemptId);
    }

    /** The bytes that {@link #decode} reads. */
    public byte[] encode() {
      return new ByteWriter()
          .writeString(routeName)
          .writeString(jobId)
          .writeVarint(tokens)
          .writeVarint(attemptId)
          .toByteArray();
    }

    /**
     * The reservation of these bytes.
     *
     * @throws elmsail.runtime.ElmsailException with {@code MALFORMED} if {@link #encode} did not
     *     write them
     */
    public static Reservation decode(byte[] bytes) {
      ByteReader reader = new ByteReader(bytes);
      return new Reservation(
          reader.readString(), reader.readString(), reader.readVarint(), reader.readVarint());
    }
  }

  /**
   * Sets the count of a job, unless a newer version of it, or a larger one of the same, is known.
   */
  public void put(long jobDigest, long version, long tokens) {
    Entry existing = entries.get(jobDigest);
    if (existing == null || existing.isReplacedBy(version, tokens)) {
      entries.put(jobDigest, new Entry(version, tokens));
    }
  }

  /**
   * Merges the encoded counts of several stores.
   *
   * @param counts null elements are of stores that gave none
   * @throws elmsail.runtime.ElmsailException with {@code MALFORMED} if {@link #encode} did not
   *     write one of them
   */
  public void mergeAll(List<byte[]> counts) {
    for (byte[] count : counts) {
      if (count != null) {
        ByteReader reader = new ByteReader(count);
        for (int remaining = reader.readCount(); remaining > 0; remaining--) {
          put(reader.readVarint(), reader.readVarint(), reader.readVarint());
        }
      }
    }
  }

  /** The tokens of all jobs except this one. */
  public long totalExcept(String jobId) {
    long ownDigest = ContentDigest.of(jobId);
    long sum = 0;
    for (Map.Entry<Long, Entry> entry : entries.entrySet()) {
      sum += entry.getKey() == ownDigest ? 0 : entry.getValue().tokens();
    }
    return sum;
  }

  /**
   * The tokens of the accepted jobs except this one, and of the reserved jobs that precede it. The
   * order is that of the digests: any total order does, provided that all submitters use the same.
   */
  public long totalAheadOf(String jobId) {
    long ownDigest = ContentDigest.of(jobId);
    long sum = 0;
    for (Map.Entry<Long, Entry> entry : entries.entrySet()) {
      long digest = entry.getKey();
      boolean ahead = entry.getValue().isReservation() ? digest < ownDigest : digest != ownDigest;
      sum += ahead ? entry.getValue().tokens() : 0;
    }
    return sum;
  }

  /** The tokens of accepted jobs except this one; part of {@link #totalExcept}. */
  public long acceptedExcept(String jobId) {
    return totalExcept(jobId) - pendingExcept(jobId);
  }

  /** The tokens of other jobs that are reserved and not accepted; part of {@link #totalExcept}. */
  public long pendingExcept(String jobId) {
    long ownDigest = ContentDigest.of(jobId);
    long sum = 0;
    for (Map.Entry<Long, Entry> entry : entries.entrySet()) {
      boolean pending = entry.getValue().isReservation() && entry.getKey() != ownDigest;
      sum += pending ? entry.getValue().tokens() : 0;
    }
    return sum;
  }

  /** The bytes that {@link #mergeAll} reads. */
  public byte[] encode() {
    ByteWriter writer = new ByteWriter().writeVarint(entries.size());
    for (Map.Entry<Long, Entry> entry : entries.entrySet()) {
      writer
          .writeVarint(entry.getKey())
          .writeVarint(entry.getValue().version())
          .writeVarint(entry.getValue().tokens());
    }
    return writer.toByteArray();
  }
}
