package elmsail.batch.messages;

import elmsail.batch.TenantName;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The waiting tokens of the jobs of one {@link QuotaKey}, as one store counts them or merged from
 * several stores. For each job the entry of the highest version stands, so that merging is
 * commutative and idempotent. A job with a reservation that is not accepted yet has version 0. Not
 * thread-safe.
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
   * wait with so many tokens, which count under that key.
   *
   * <p>The binary form ends with the name of the tenant, if there is one. A process of the former
   * version writes none and ignores one: it counts all jobs of a route together.
   *
   * @param attemptId random, so that the withdrawal of one attempt leaves the reservations of
   *     others
   */
  public record Reservation(QuotaKey quotaKey, String jobId, long tokens, long attemptId) {

    /** A reservation for a job without a tenant. */
    public Reservation(String routeName, String jobId, long tokens, long attemptId) {
      this(new QuotaKey(routeName, TenantName.NONE), jobId, tokens, attemptId);
    }

    /** A reservation of no tokens: it only reads the count of its key. */
    public Reservation withoutTokens() {
      return new Reservation(quotaKey, jobId, 0, attemptId);
    }

    /** The bytes that {@link #decode} reads. */
    public byte[] encode() {
      ByteWriter writer =
          new ByteWriter()
              .writeString(quotaKey.routeName())
              .writeString(jobId)
              .writeVarint(tokens)
              .writeVarint(attemptId);
      if (!quotaKey.tenant().isNone()) {
        writer.writeString(quotaKey.tenant().value());
      }
      return writer.toByteArray();
    }

    /**
     * The reservation of these bytes.
     *
     * @throws elmsail.runtime.ElmsailException with {@code MALFORMED} if {@link #encode} did not
     *     write them
     */
    public static Reservation decode(byte[] bytes) {
      ByteReader reader = new ByteReader(bytes);
      String routeName = reader.readString();
      String jobId = reader.readString();
      long tokens = reader.readVarint();
      long attemptId = reader.readVarint();
      TenantName tenant =
          reader.hasRemaining() ? new TenantName(reader.readString()) : TenantName.NONE;
      return new Reservation(new QuotaKey(routeName, tenant), jobId, tokens, attemptId);
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
