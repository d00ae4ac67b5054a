package elmsail.gateway.requests;

/** A request under way, as its client's connection sees it. */
public interface RequestHandle {
  /** The client has left: what it asked for is cancelled. */
  void onClientDisconnect();

  /** The client reads on, or does not for now. */
  void onWritabilityChanged(boolean writable);

  /** One that needs neither. */
  RequestHandle NONE =
      new RequestHandle() {
        @Override
        public void onClientDisconnect() {}

        @Override
        public void onWritabilityChanged(boolean writable) {}
      };
}
