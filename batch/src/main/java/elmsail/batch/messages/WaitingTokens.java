package elmsail.batch.messages;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Waiting tokens of a route's jobs, as one store has them or as the union of several: per job the
 * entry of the highest version. A job about to be accepted stands in it with version 0.
 */
public final class WaitingTokens {
  private final Map<Long, long[]> entries = new HashMap<>();

  /**
   * What a gateway says with a first round: this job is about to wait on that route with so many
   * tokens.
   *
   * @param attemptId drawn for this try, so that a withdrawal takes back no other's add
   */
  public record Reservation(String routeName, String jobId, long tokens, long attemptId) {
    /** Asks for the count alone: adds nothing. */
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

    /** Fails with GARBLED where the bytes are not those of {@link #encode}. */
    public static Reservation decode(byte[] bytes) {
      ByteReader reader = new ByteReader(bytes);
      return new Reservation(
          reader.readString(), reader.readString(), reader.readVarint(), reader.readVarint());
    }
  }

  /** Of equal versions the larger number of tokens stays. */
  public void put(long jobDigest, long version, long tokens) {
    long[] existing = entries.get(jobDigest);
    if (existing == null
        || version > existing[0]
        || version == existing[0] && tokens > existing[1]) {
      entries.put(jobDigest, new long[] {version, tokens});
    }
  }

  /** Takes the counts of stores; null is one that had none. */
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

  /** Tokens of all jobs but this one. */
  public long totalExcept(String jobId) {
    long ownDigest = ContentDigest.of(jobId);
    long sum = 0;
    for (Map.Entry<Long, long[]> entry : entries.entrySet()) {
      sum += entry.getKey() == ownDigest ? 0 : entry.getValue()[1];
    }
    return sum;
  }

  /**
   * Tokens of the accepted jobs but this one, and of those being accepted that go before it. The
   * order is by digest: any total order does, as long as all who submit use the same one.
   */
  public long totalAheadOf(String jobId) {
    long ownDigest = ContentDigest.of(jobId);
    long sum = 0;
    for (Map.Entry<Long, long[]> entry : entries.entrySet()) {
      boolean accepted = entry.getValue()[0] > 0;
      boolean counts = accepted ? entry.getKey() != ownDigest : entry.getKey() < ownDigest;
      sum += counts ? entry.getValue()[1] : 0;
    }
    return sum;
  }

  /** Tokens of accepted jobs but this one, part of {@link #totalExcept}. */
  public long acceptedExcept(String jobId) {
    return totalExcept(jobId) - pendingExcept(jobId);
  }

  /** Tokens of other jobs that are still being accepted, part of {@link #totalExcept}. */
  public long pendingExcept(String jobId) {
    long ownDigest = ContentDigest.of(jobId);
    long sum = 0;
    for (Map.Entry<Long, long[]> entry : entries.entrySet()) {
      sum += entry.getKey() == ownDigest || entry.getValue()[0] > 0 ? 0 : entry.getValue()[1];
    }
    return sum;
  }

  /** The bytes that {@link #mergeAll} reads. */
  public byte[] encode() {
    ByteWriter writer = new ByteWriter().writeVarint(entries.size());
    for (Map.Entry<Long, long[]> entry : entries.entrySet()) {
      writer
          .writeVarint(entry.getKey())
          .writeVarint(entry.getValue()[0])
          .writeVarint(entry.getValue()[1]);
    }
    return writer.toByteArray();
  }
}
