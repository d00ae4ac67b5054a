package elmsail.gateway.servers;

import java.util.List;

/**
 * Selects one of several servers: the one with the lowest estimated cost of the request, in ms.
 * Pure functions, safe on any thread.
 */
public final class ServerSelector {
  /** Assumed prefill speed of a server, in prompt tokens per ms. */
  static final double PREFILL_TOKENS_PER_MS = 100;

  /** Cost of each running request, because it delays the tokens of all others. */
  static final double COST_PER_RUNNING_MS = 0.5;

  /** Share of occupied slots beyond which a server slows down and may reject requests. */
  static final double NEARLY_FULL_UTILIZATION = 0.8;

  /** Cost of the range from {@link #NEARLY_FULL_UTILIZATION} to a full server. */
  static final double NEARLY_FULL_COST_MS = 80;

  /** Cost of a request to another zone: the round trip and the price of the traffic. */
  static final double OTHER_ZONE_COST_MS = 12;

  /** Share of the affinity prefix that is assumed to be cached already. */
  static final double AFFINITY_CACHE_RATIO = 0.5;

  /**
   * Costs that differ by at most this count as equal if many gateways select servers by the same
   * loads at the same time. The value covers the prefill time that can be added at a server within
   * the age of these loads, with some margin (determined with {@code ServerSelectionModelTest}).
   */
  static final double SPREAD_TOLERANCE_MS = 80;

  /** Cost that makes a suspect or ejected server the last choice. */
  static final double AVOIDED_COST_MS = 100_000;

  /**
   * One server as a candidate for a request.
   *
   * @param cachedTokens leading tokens of the prompt that this gateway sent to the server before
   * @param affinityTokens tokens of the prompt's shared prefix, which other gateways may have sent
   *     to the server; 0 unless the prompt has affinity to this server
   * @param running estimate of the running requests of all gateways
   * @param queued estimate of the queued requests of all gateways
   * @param maxConcurrency number of slots, 0 if unknown
   * @param pendingPrefillTokens prompt tokens of requests at the server without a response; only
   *     this gateway's if the server reports its load
   * @param slotReleaseIntervalMs mean time between two slot releases while the server is full
   * @param sameZone whether the server is in this gateway's zone
   * @param avoided whether the server should be avoided, for example because it is suspect or
   *     ejected
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

  /** The estimated time until the request's first token plus the cost to other requests, in ms. */
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
   * The estimated time until the server can start to read the prompt of a new request, in ms. The
   * reported queue may include this gateway's requests, so that the larger of the two estimates
   * counts, not the sum.
   */
  public static double waitMs(Candidate candidate) {
    return Math.max(
        candidate.pendingPrefillTokens() / PREFILL_TOKENS_PER_MS,
        candidate.queued() * candidate.slotReleaseIntervalMs());
  }

  /**
   * The index of the cheapest candidate, or -1 if there is none.
   *
   * @param rotation rotates the order of comparison, which spreads requests over candidates of
   *     equal cost
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
   * The same for loads that are some tens of ms old and are used by other gateways at the same
   * time. Of the candidates that cost at most {@link #SPREAD_TOLERANCE_MS} more than the cheapest,
   * the one with the highest rank is selected, with precedence for the own zone. This spreads
   * simultaneous requests over servers and sends prompts with the same prefix to the same server.
   *
   * @param ranks the rank of each candidate for this prompt
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
