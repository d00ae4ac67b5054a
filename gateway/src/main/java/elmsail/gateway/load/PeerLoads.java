package elmsail.gateway.load;

/** What all gateways together have open at the servers. */
public interface PeerLoads {
  /** Where no other gateway is heard. */
  PeerLoads NONE =
      new PeerLoads() {
        @Override
        public boolean isAvailable() {
          return false;
        }

        @Override
        public ServerLoad loadOf(String serverId) {
          return ServerLoad.NONE;
        }
      };

  /** Whether other gateways are heard. */
  boolean isAvailable();

  /**
   * What all gateways that are heard have open there, this one's as it last told; never null. Some
   * ten ms old.
   */
  ServerLoad loadOf(String serverId);
}
