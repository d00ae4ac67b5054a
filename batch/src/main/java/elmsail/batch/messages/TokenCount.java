package elmsail.batch.messages;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Waiting tokens of a route's jobs, as one store has them or as the union of several: per job the
 * entry of the highest version. A job about to be accepted stands in it with version 0.
 */
public final class TokenCount {
  private final Map<Long, long[]> jobs = new HashMap<>();

  /**
   * What a gateway says with a first round: this job is about to wait on that route with so many
   * tokens.
   *
   * @param who drawn for this try, so that a withdrawal takes back no other's add
   */
  public record Add(String route, String job, long tokens, long who) {
    /** Asks for the count alone: adds nothing. */
    public Add looking() {
      return new Add(route, job, 0, who);
    }

    /** The bytes that {@link #unpacked} reads. */
    public byte[] packed() {
      return new ByteWriter().text(route).text(job).number(tokens).number(who).packed();
    }

    /** Fails with GARBLED where the bytes are not those of {@link #packed}. */
    public static Add unpacked(byte[] bytes) {
      ByteReader from = new ByteReader(bytes);
      return new Add(from.text(), from.text(), from.number(), from.number());
    }
  }

  /** Of equal versions the larger number of tokens stays. */
  public void put(long lotDigest, long version, long tokens) {
    long[] there = jobs.get(lotDigest);
    if (there == null || version > there[0] || version == there[0] && tokens > there[1]) {
      jobs.put(lotDigest, new long[] {version, tokens});
    }
  }

  /** Takes the counts of stores; null is one that had none. */
  public void putAll(List<byte[]> counts) {
    for (byte[] one : counts) {
      if (one != null) {
        ByteReader from = new ByteReader(one);
        for (int left = from.count(); left > 0; left--) {
          put(from.number(), from.number(), from.number());
        }
      }
    }
  }

  /** Tokens of all jobs but this one. */
  public long without(String job) {
    long own = ContentDigest.of(job);
    long sum = 0;
    for (Map.Entry<Long, long[]> one : jobs.entrySet()) {
      sum += one.getKey() == own ? 0 : one.getValue()[1];
    }
    return sum;
  }

  /**
   * Tokens of the accepted jobs but this one, and of those being accepted that go before it. The
   * order is by digest: any total order does, as long as all who submit use the same one.
   */
  public long before(String job) {
    long own = ContentDigest.of(job);
    long sum = 0;
    for (Map.Entry<Long, long[]> one : jobs.entrySet()) {
      boolean accepted = one.getValue()[0] > 0;
      boolean counts = accepted ? one.getKey() != own : one.getKey() < own;
      sum += counts ? one.getValue()[1] : 0;
    }
    return sum;
  }

  /** Tokens of accepted jobs but this one, part of {@link #without}. */
  public long accepted(String job) {
    return without(job) - pendingWithout(job);
  }

  /** Tokens of other jobs that are still being accepted, part of {@link #without}. */
  public long pendingWithout(String job) {
    long own = ContentDigest.of(job);
    long sum = 0;
    for (Map.Entry<Long, long[]> one : jobs.entrySet()) {
      sum += one.getKey() == own || one.getValue()[0] > 0 ? 0 : one.getValue()[1];
    }
    return sum;
  }

  /** The bytes that {@link #putAll} reads. */
  public byte[] packed() {
    ByteWriter to = new ByteWriter().number(jobs.size());
    for (Map.Entry<Long, long[]> one : jobs.entrySet()) {
      to.number(one.getKey()).number(one.getValue()[0]).number(one.getValue()[1]);
    }
    return to.packed();
  }
}
