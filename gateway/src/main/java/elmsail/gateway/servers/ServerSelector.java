package elmsail.gateway.servers;

import java.util.List;

/** Which of some servers is to get a request: the one where it costs least, in ms. */
public final class ServerSelector {
  /** Prompt tokens that a server reads in a ms. */
  static final double PREFILL_TOKENS_PER_MS = 100;

  /** Each request that runs beside makes all tokens come later. */
  static final double COST_PER_RUNNING_MS = 0.5;

  /** Beyond this share of its places a server slows down and may refuse. */
  static final double NEARLY_FULL_UTILIZATION = 0.8;

  static final double NEARLY_FULL_COST_MS = 80;

  /** For the way to another zone and back, and what its bytes are priced. */
  static final double OTHER_ZONE_COST_MS = 12;

  /** Of what a server holds by the gateways' common reckoning this share is counted on. */
  static final double AFFINITY_CACHE_RATIO = 0.5;

  /**
   * Servers whose costs differ by less are alike, where many choose by the same sight at once: what
   * a server reads in the time that the sight is old, and some more (by {@code ChoiceModelTest}).
   */
  static final double SPREAD_TOLERANCE_MS = 80;

  /** A server that failed lately, or is silent, is taken only where there is no other. */
  static final double AVOIDED_COST_MS = 100_000;

  /**
   * One server as it stands.
   *
   * @param cachedTokens of the prompt that it was sent before
   * @param affinityTokens of the prompt that other gateways will have sent there, 0 unless it is
   *     the prompt's home
   * @param running estimate of requests running, all gateways'
   * @param queued estimate of requests waiting there
   * @param pendingPrefillTokens tokens of the requests there that have no answer yet, of this
   *     gateway's alone where the server tells its load
   * @param slotReleaseIntervalMs until one that waits there gets a place, for each one before it
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

  /** The estimated ms until the request's first token, with what it takes from others. */
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

  /** The estimated ms to read what the server does not hold of the prompt. */
  public static double prefillMs(Candidate candidate, int promptTokens) {
    double cachedTokens =
        Math.max(candidate.cachedTokens(), candidate.affinityTokens() * AFFINITY_CACHE_RATIO);
    return Math.max(0, promptTokens - cachedTokens) / PREFILL_TOKENS_PER_MS;
  }

  /**
   * The estimated ms until what waits there is read; those of this gateway may be among those told.
   */
  public static double waitMs(Candidate candidate) {
    return Math.max(
        candidate.pendingPrefillTokens() / PREFILL_TOKENS_PER_MS,
        candidate.queued() * candidate.slotReleaseIntervalMs());
  }

  /**
   * The index of the cheapest, or -1 of none.
   *
   * @param turn spreads those that cost the same
   */
  public static int pick(List<Candidate> candidates, int promptTokens, int turn) {
    int best = -1;
    double lowestCost = Double.POSITIVE_INFINITY;
    for (int i = 0; i < candidates.size(); i++) {
      int at = Math.floorMod(turn + i, candidates.size());
      double cost = costMs(candidates.get(at), promptTokens);
      if (cost < lowestCost) {
        lowestCost = cost;
        best = at;
      }
    }
    return best;
  }

  /**
   * Likewise where the load is some ten ms old, so that others choose by the same sight: of the
   * servers that cost little more than the cheapest, near ones before others, the one that the
   * prompt ranks first. So requests that come together spread, and equal prompts meet again.
   *
   * @param ranks the prompt's own order of the servers
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
