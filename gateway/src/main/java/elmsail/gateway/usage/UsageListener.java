package elmsail.gateway.usage;

/** Notified of each client request that a server has started. Called on the event loop. */
@FunctionalInterface
public interface UsageListener {
  /** Called when the first byte of a successful response to a request of the tenant has arrived. */
  void onRequestStarted(String tenant);
}
