package elmsail.gateway.servers;

import java.util.List;

/**
 * Affinity of prompts to servers by rendezvous hashing: all gateways rank the servers alike for the
 * same shared prefix, so that prompts which share it meet where it is cached. Owned by the
 * gateway's event loop.
 */
final class PromptAffinity {
  private final String zone;
  private long orderSeed;

  /** Affinity as seen by a gateway of that zone. */
  PromptAffinity(String zone) {
    this.zone = zone;
  }

  /**
   * The rank of each server for the prompt, highest first; a prompt without a shared prefix gets a
   * different order each time.
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
   * The server that the prompt's shared prefix belongs to: the same one for all gateways of a zone
   * while the list is unchanged. Servers of the own zone come first. Null without a shared prefix.
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
