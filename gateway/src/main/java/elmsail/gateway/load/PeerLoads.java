package elmsail.gateway.load;

/** The total load of all gateways at each server. */
public interface PeerLoads {
  /** No loads of other gateways. */
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
   * The total load of all known gateways at a server. The total includes this gateway's load as
   * last reported, and is some tens of ms old. Never null.
   */
  ServerLoad loadOf(String serverId);
}
