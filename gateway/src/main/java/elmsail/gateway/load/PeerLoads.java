package elmsail.gateway.load;

/** The load of all gateways together at each server. */
public interface PeerLoads {
  /** Without any other gateway. */
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

  /** Whether loads of other gateways are received. */
  boolean isAvailable();

  /**
   * The load of all known gateways at a server, this one's as last reported; some ten ms old. Never
   * null.
   */
  ServerLoad loadOf(String serverId);
}
