package elmsail.gateway.servers;

import java.util.List;

/**
 * Rendezvous hashing of prompts: by a shared part, all gateways rank the servers alike, so that
 * prompts that share it meet where it is cached.
 */
final class PromptAffinity {
  private final String zone;
  private long turn;

  /** For a gateway of that zone. */
  PromptAffinity(String zone) {
    this.zone = zone;
  }

  /** The prompt's own order of the servers; one without a shared part takes them in turn. */
  long[] ranks(List<Server> open, Prompt prompt) {
    long key = prompt.sharedPrefixKey() == 0 ? Prompt.mix(++turn) : prompt.sharedPrefixKey();
    long[] ranks = new long[open.size()];
    for (int i = 0; i < ranks.length; i++) {
      ranks[i] = rank(key, open.get(i));
    }
    return ranks;
  }

  /**
   * All gateways of a zone name the same server of it for the prompt's shared part, as long as the
   * list stays; where the zone has none, all servers count. Null where nothing is shared.
   */
  Server ownServer(List<Server> open, Prompt prompt) {
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
