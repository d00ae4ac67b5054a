package elmsail.batch.messages;

import elmsail.batch.TenantName;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The waiting tokens of the jobs of one {@link QuotaKey}, as counted by one store or merged from
 * several stores. For each job only the entry with the highest version is kept, and among entries
 * of the same version the entry with the most tokens, so merging is commutative and idempotent. A
 * job with a reservation that is not accepted yet has version 0. Not thread-safe.
 */
public final class WaitingTokens {
  /** The version of a job that has a reservation and is not accepted yet. */
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

  /** Keyed by the digest of the job id. */
  private final Map<Long, Entry> entries = new HashMap<>();

  /**
   * A reservation that a gateway sends to the stores with the rounds of a submission. The store
   * counts the tokens of the job under the quota key before the job is accepted.
   *
   * <p>The encoding ends with the name of the tenant, if there is one. A process of the previous
   * software version does not write the tenant and ignores it when reading: such a process counts
   * all jobs of a route together.
   *
   * @param attemptId a random number, so that the withdrawal of one attempt does not remove the
   *     reservations of other attempts
   */
  public record Reservation(QuotaKey quotaKey, String jobId, long tokens, long attemptId) {

    /** Creates a reservation for a job without a tenant. */
    public Reservation(String routeName, String jobId, long tokens, long attemptId) {
      this(new QuotaKey(routeName, TenantName.NONE), jobId, tokens, attemptId);
    }

    /**
     * Returns this reservation with 0 tokens. A gateway sends such a reservation only to obtain the
     * waiting tokens of the quota key; the reservation adds no tokens to the store's count.
     */
    public Reservation withoutTokens() {
      return new Reservation(quotaKey, jobId, 0, attemptId);
    }

    /** Encodes this reservation for {@link #decode}. */
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
     * Decodes a reservation from these bytes.
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
   * Sets the tokens of a job, unless the existing entry has a higher version, or the same version
   * and at least as many tokens.
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
   * @param counts one element per store; null for a store that returned no count
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

  /**
   * Marks the job whose submission this count answers: an attempt other than the one that is
   * answered may have proposed a record, so a record may still be committed. The mark is a
   * reservation of the job itself, which the submission's own check leaves out; it is sent to no
   * other submission.
   */
  public void markUnresolved(String jobId) {
    put(ContentDigest.of(jobId), RESERVED_VERSION, 1);
  }

  /**
   * Whether a store has marked the job as unresolved or counts a reservation of it. Meaningful only
   * in a round in which the submission itself reserves no tokens.
   */
  public boolean isUnresolved(String jobId) {
    Entry entry = entries.get(ContentDigest.of(jobId));
    return entry != null && entry.isReservation() && entry.tokens() > 0;
  }

  /** The tokens of all jobs except this job. */
  public long totalExcept(String jobId) {
    long ownDigest = ContentDigest.of(jobId);
    long sum = 0;
    for (Map.Entry<Long, Entry> entry : entries.entrySet()) {
      sum += entry.getKey() == ownDigest ? 0 : entry.getValue().tokens();
    }
    return sum;
  }

  /**
   * The tokens of the accepted jobs except this job, and of the reserved jobs ahead of it. Jobs are
   * ordered by the digests of their ids. Any total order works if all gateways use the same order.
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

  /** The tokens of the accepted jobs except this job; a part of {@link #totalExcept}. */
  public long acceptedExcept(String jobId) {
    return totalExcept(jobId) - reservedExcept(jobId);
  }

  /** The tokens of the reserved jobs except this job; a part of {@link #totalExcept}. */
  public long reservedExcept(String jobId) {
    long ownDigest = ContentDigest.of(jobId);
    long sum = 0;
    for (Map.Entry<Long, Entry> entry : entries.entrySet()) {
      boolean reserved = entry.getValue().isReservation() && entry.getKey() != ownDigest;
      sum += reserved ? entry.getValue().tokens() : 0;
    }
    return sum;
  }

  /** Encodes the entries for {@link #mergeAll}. */
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
