package elmsail.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Records the tokens that wait on each route, as clients and servers observe them, and checks the
 * invariants of the quota. Thread-safe.
 */
final class QuotaHistoryChecker {
  private static final int TOO_MANY_REQUESTS = 429;

  /** Tokens that wait no more. */
  private record Release(long atMs, long tokens) {}

  /** A submit attempt; a status of 0 stands for no response. */
  private record Attempt(String machine, long sentMs, long atMs, int status) {
    boolean isOutcomeUnknown() {
      return status != 202 && status != TOO_MANY_REQUESTS && status != 503;
    }
  }

  private static final class JobTokens {
    private final SubmittedJob job;
    private final List<Attempt> attempts = new ArrayList<>();
    private final Map<String, Release> releases = new LinkedHashMap<>();
    private long acceptedAtMs = Long.MAX_VALUE;
    private long mayWaitFromMs = Long.MAX_VALUE;
    private long cancelRequestedAtMs = Long.MAX_VALUE;
    private long cancelledAtMs = Long.MAX_VALUE;

    JobTokens(SubmittedJob job) {
      this.job = job;
    }

    private long released(long untilMs) {
      return releases.values().stream()
          .filter(release -> release.atMs() <= untilMs)
          .mapToLong(Release::tokens)
          .sum();
    }

    /** At least so many tokens wait at that time. */
    long waits(long atMs) {
      return acceptedAtMs <= atMs && atMs < cancelRequestedAtMs ? job.tokens() - released(atMs) : 0;
    }

    /** At most so many tokens wait at any moment between the two. */
    long mayWait(long fromMs, long toMs) {
      long settled = fromMs - Bounds.SETTLE_MS;
      return mayWaitFromMs > toMs || cancelledAtMs < settled ? 0 : job.tokens() - released(settled);
    }
  }

  private final Findings findings;
  private final FaultHistory faults;
  private final Map<String, Long> limits;
  private final Map<String, JobTokens> jobs = new HashMap<>();

  /**
   * @param limits what may wait on each route that has a limit
   */
  QuotaHistoryChecker(Findings findings, FaultHistory faults, Map<String, Long> limits) {
    this.findings = findings;
    this.faults = faults;
    this.limits = Map.copyOf(limits);
  }

  synchronized void onSubmit(SubmittedJob job) {
    if (limits.containsKey(job.route())) {
      jobs.put(job.id(), new JobTokens(job));
    }
  }

  /** An attempt ended; a status of 0 stands for no response in time. */
  synchronized void onSubmitAttempt(
      String job, String machine, long sentMs, long atMs, int status) {
    JobTokens tokens = jobs.get(job);
    if (tokens == null) {
      return;
    }
    Attempt one = new Attempt(machine, sentMs, atMs, status);
    tokens.attempts.add(one);
    if (status == 202 || one.isOutcomeUnknown()) {
      tokens.mayWaitFromMs = Math.min(tokens.mayWaitFromMs, sentMs);
    }
    if (status == 202 && tokens.acceptedAtMs == Long.MAX_VALUE) {
      tokens.acceptedAtMs = atMs;
      checkWithinLimit(tokens.job.route(), atMs);
    }
  }

  private void checkWithinLimit(String route, long atMs) {
    long waiting =
        jobs.values().stream()
            .filter(one -> one.job.route().equals(route))
            .mapToLong(one -> one.waits(atMs))
            .sum();
    long limit = limits.get(route);
    findings.check(
        Invariant.QUOTA_KEPT,
        waiting <= limit * (1 + Bounds.QUOTA_OVER),
        atMs,
        waiting + " tokens wait on " + route + " of " + limit);
  }

  /** A server has finished the item, or it can never be done. */
  synchronized void onReleased(SubmittedJob job, String itemId, long atMs) {
    JobTokens tokens = jobs.get(job.id());
    if (tokens != null) {
      long freed =
          job.items().stream()
              .filter(item -> item.id().equals(itemId))
              .mapToLong(SubmittedJob.Item::tokens)
              .sum();
      tokens.releases.putIfAbsent(itemId, new Release(atMs, freed));
    }
  }

  synchronized void onCancelRequested(String job, long atMs) {
    JobTokens tokens = jobs.get(job);
    if (tokens != null) {
      tokens.cancelRequestedAtMs = Math.min(tokens.cancelRequestedAtMs, atMs);
    }
  }

  synchronized void onCancelled(String job, long atMs) {
    JobTokens tokens = jobs.get(job);
    if (tokens != null) {
      tokens.cancelledAtMs = Math.min(tokens.cancelledAtMs, atMs);
    }
  }

  /** The check of complete histories: no job that fits was rejected at every attempt. */
  synchronized void checkAtEnd() {
    for (JobTokens tokens : jobs.values()) {
      if (!tokens.attempts.isEmpty()) {
        checkFittingAccepted(tokens);
      }
    }
  }

  private void checkFittingAccepted(JobTokens tokens) {
    Attempt first = tokens.attempts.get(0);
    Attempt last = tokens.attempts.get(tokens.attempts.size() - 1);
    long others = 0;
    for (JobTokens other : jobs.values()) {
      if (other != tokens && other.job.route().equals(tokens.job.route())) {
        others += other.mayWait(first.sentMs(), last.atMs());
      }
    }
    long limit = limits.get(tokens.job.route());
    boolean fits = others + tokens.job.tokens() <= limit;
    if (fits && faults.inTouch(last.machine(), last.atMs(), last.atMs())) {
      findings.check(
          Invariant.FITTING_ACCEPTED,
          !tokens.attempts.stream().allMatch(one -> one.status() == TOO_MANY_REQUESTS),
          last.atMs(),
          "job "
              + tokens.job.id()
              + " of "
              + tokens.job.tokens()
              + " tokens beside at most "
              + others
              + " of "
              + limit
              + ", beside tries in flight too room at "
              + attemptsWithRoom(tokens, others, limit)
              + " of its tries: "
              + tokens.attempts);
    }
  }

  /** At how many of its attempts the job fits even with all attempts of others in flight. */
  private long attemptsWithRoom(JobTokens tokens, long others, long limit) {
    return tokens.attempts.stream()
        .filter(one -> others + tokensInFlight(tokens, one) + tokens.job.tokens() <= limit)
        .count();
  }

  private long tokensInFlight(JobTokens tokens, Attempt during) {
    long sum = 0;
    for (JobTokens other : jobs.values()) {
      boolean under =
          other != tokens
              && other.job.route().equals(tokens.job.route())
              && other.attempts.stream().anyMatch(one -> overlap(one, during));
      sum += under ? other.job.tokens() : 0;
    }
    return sum;
  }

  private static boolean overlap(Attempt one, Attempt two) {
    return one.sentMs() <= two.atMs() && two.sentMs() <= one.atMs();
  }
}
