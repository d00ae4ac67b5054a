package elmsail.gateway.servers;

import java.util.List;

/**
 * Selects one of several servers: the one with the lowest estimated cost of the request, in ms.
 * Pure functions, safe on any thread.
 */
public final class ServerSelector {
  /** Prompt tokens that a server reads per ms. */
  static final double PREFILL_TOKENS_PER_MS = 100;

  /** Each running request delays the tokens of all others. */
  static final double COST_PER_RUNNING_MS = 0.5;

  /** Beyond this share of its slots a server slows down and may reject. */
  static final double NEARLY_FULL_UTILIZATION = 0.8;

  /** Cost of the step from there to a full server. */
  static final double NEARLY_FULL_COST_MS = 80;

  /** Round trip to another zone, and the price of its bytes. */
  static final double OTHER_ZONE_COST_MS = 12;

  /** Share of the affinity prefix that is assumed to be cached already. */
  static final double AFFINITY_CACHE_RATIO = 0.5;

  /**
   * Costs that differ by less are equal where many gateways select by the same loads at once: what
   * a server reads within the age of those loads, and some more (found by {@code
   * ServerSelectionModelTest}).
   */
  static final double SPREAD_TOLERANCE_MS = 80;

  /** Makes a suspect or ejected server the last choice. */
  static final double AVOIDED_COST_MS = 100_000;

  /**
   * One server as a candidate for a request.
   *
   * @param cachedTokens leading tokens of the prompt that this gateway sent there before
   * @param affinityTokens prefix tokens that other gateways have sent there, 0 unless the prompt's
   *     affinity is to this server
   * @param running estimate of the running requests of all gateways
   * @param queued estimate of the queued ones
   * @param maxConcurrency its slots, 0 if unknown
   * @param pendingPrefillTokens prompt tokens of requests there without a response; of this gateway
   *     alone if the server reports its load
   * @param slotReleaseIntervalMs mean time between two released slots while it is full
   * @param sameZone whether it is in this gateway's zone
   * @param avoided whether it is suspect or ejected
   */
  public record Candidate(
      int cachedTokens,
      int affinityTokens,
      double running,
      double queued,
      int maxConcurrency,
      int pendingPrefillTokens,
      double slotReleaseIntervalMs,
      boolean sameZone,
      boolean avoided) {}

  private ServerSelector() {}

  /**
   * The estimated time until the request's first token, with what the request costs others, in ms.
   */
  public static double costMs(Candidate candidate, int promptTokens) {
    double cost =
        prefillMs(candidate, promptTokens)
            + waitMs(candidate)
            + candidate.running() * COST_PER_RUNNING_MS;
    double nearlyFullAt = candidate.maxConcurrency() * NEARLY_FULL_UTILIZATION;
    if (candidate.maxConcurrency() > 0 && candidate.running() + candidate.queued() > nearlyFullAt) {
      cost +=
          NEARLY_FULL_COST_MS
              * Math.min(
                  2,
                  (candidate.running() + candidate.queued() - nearlyFullAt)
                      / (candidate.maxConcurrency() - nearlyFullAt));
    }
    cost += candidate.sameZone() ? 0 : OTHER_ZONE_COST_MS;
    return candidate.avoided() ? cost + AVOIDED_COST_MS : cost;
  }

  /** The estimated time to read the part of the prompt that is not cached, in ms. */
  public static double prefillMs(Candidate candidate, int promptTokens) {
    double cachedTokens =
        Math.max(candidate.cachedTokens(), candidate.affinityTokens() * AFFINITY_CACHE_RATIO);
    return Math.max(0, promptTokens - cachedTokens) / PREFILL_TOKENS_PER_MS;
  }

  /**
   * The estimated time until what is queued there has been read, in ms. This gateway's requests may
   * be among those reported, so the larger estimate counts, not the sum.
   */
  public static double waitMs(Candidate candidate) {
    return Math.max(
        candidate.pendingPrefillTokens() / PREFILL_TOKENS_PER_MS,
        candidate.queued() * candidate.slotReleaseIntervalMs());
  }

  /**
   * The index of the cheapest candidate, or -1 without any.
   *
   * @param rotation rotates the order of comparison, which spreads equal costs
   */
  public static int pick(List<Candidate> candidates, int promptTokens, int rotation) {
    int best = -1;
    double lowestCost = Double.POSITIVE_INFINITY;
    for (int i = 0; i < candidates.size(); i++) {
      int at = Math.floorMod(rotation + i, candidates.size());
      double cost = costMs(candidates.get(at), promptTokens);
      if (cost < lowestCost) {
        lowestCost = cost;
        best = at;
      }
    }
    return best;
  }

  /**
   * The same where loads are some ten ms old and other gateways select by the same ones: of the
   * candidates that cost little more than the cheapest, those of the own zone first, the one with
   * the highest rank. So simultaneous requests spread, and equal prompts meet again.
   *
   * @param ranks of each candidate for this prompt
   */
  public static int pickSpread(List<Candidate> candidates, long[] ranks, int promptTokens) {
    double[] costs = new double[candidates.size()];
    double lowestCost = Double.POSITIVE_INFINITY;
    for (int i = 0; i < costs.length; i++) {
      costs[i] = costMs(candidates.get(i), promptTokens);
      lowestCost = Math.min(lowestCost, costs[i]);
    }
    int best = -1;
    for (int i = 0; i < costs.length; i++) {
      if (costs[i] <= lowestCost + SPREAD_TOLERANCE_MS
          && (best < 0 || ranksBefore(candidates, ranks, i, best))) {
        best = i;
      }
    }
    return best;
  }

  private static boolean ranksBefore(List<Candidate> candidates, long[] ranks, int one, int other) {
    boolean sameZone = candidates.get(one).sameZone();
    return sameZone == candidates.get(other).sameZone() ? ranks[one] > ranks[other] : sameZone;
  }
}
