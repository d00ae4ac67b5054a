package elmsail.gateway.requests;

/** An open request as seen by its client's connection. */
public interface RequestHandle {
  /** The client has disconnected: the request is cancelled. */
  void onClientDisconnect();

  /** The client reads again, or does not for now. */
  void onWritabilityChanged(boolean writable);

  /** A request that is not affected by either. */
  RequestHandle NONE =
      new RequestHandle() {
        @Override
        public void onClientDisconnect() {}

        @Override
        public void onWritabilityChanged(boolean writable) {}
      };
}
