package elmsail.gateway.requests;

/** Receives the events of a client's connection that concern one open request. */
public interface RequestHandle {
  /** Cancels the request because the client has disconnected. */
  void onClientDisconnect();

  /** Called when the connection to the client becomes writable or stops being writable. */
  void onWritabilityChanged(boolean writable);

  /** The handle of a request that ignores these events. */
  RequestHandle NONE =
      new RequestHandle() {
        @Override
        public void onClientDisconnect() {}

        @Override
        public void onWritabilityChanged(boolean writable) {}
      };
}
