package elmsail.gateway.servers;

import java.util.List;

/**
 * Affinity of prompts to servers by rendezvous hashing: all gateways compute the same ranks of
 * servers for the same shared prefix, so that prompts with this prefix are sent to the server that
 * has it cached. Owned by the gateway's event loop.
 */
final class PromptAffinity {
  private final String zone;
  private long orderSeed;

  /** Affinity for a gateway in the given zone. */
  PromptAffinity(String zone) {
    this.zone = zone;
  }

  /**
   * The rank of each server for the prompt, in the order of the list; the highest rank is
   * preferred. For a prompt without a shared prefix the ranks differ at each call.
   */
  long[] ranks(List<Server> open, Prompt prompt) {
    long key = prompt.sharedPrefixKey() == 0 ? Prompt.mix(++orderSeed) : prompt.sharedPrefixKey();
    long[] ranks = new long[open.size()];
    for (int i = 0; i < ranks.length; i++) {
      ranks[i] = rank(key, open.get(i));
    }
    return ranks;
  }

  /**
   * The server with affinity to the prompt's shared prefix, or null without a shared prefix. All
   * gateways of a zone choose the same server for the same list of servers. Servers in the
   * gateway's own zone take precedence.
   */
  Server affinityServer(List<Server> open, Prompt prompt) {
    long key = prompt.sharedPrefixKey();
    Server best = null;
    boolean bestInZone = false;
    long bestRank = Long.MIN_VALUE;
    for (Server server : open) {
      boolean sameZone = zone.equals(server.entry().zone());
      long rank = rank(key, server);
      if (key != 0
          && (best == null
              || sameZone && !bestInZone
              || sameZone == bestInZone && rank > bestRank)) {
        best = server;
        bestInZone = sameZone;
        bestRank = rank;
      }
    }
    return best;
  }

  private static long rank(long key, Server server) {
    return Prompt.mix(key ^ Prompt.mix(server.id().hashCode()));
  }
}
