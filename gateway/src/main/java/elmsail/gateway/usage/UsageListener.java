package elmsail.gateway.usage;

/** Learns of each request of a client that a server has started. Called on the event loop. */
@FunctionalInterface
public interface UsageListener {
  /** The first byte of a server's successful response to a request of that tenant has come. */
  void onRequestStarted(String tenant);
}
