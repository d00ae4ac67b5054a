package elmsail.rpc;

import java.util.concurrent.CompletableFuture;

/**
 * Calls to other processes. Everything runs on the process's event loop: futures complete there,
 * and never inside {@code call}.
 *
 * <p>Futures fail with an {@code ElmsailException} whose code says whether the request may have
 * been executed: NOT_SENT, CONNECTION_LOST, TIMEOUT, RESOURCE_EXHAUSTED, MALFORMED, MISDIRECTED,
 * UNSUPPORTED_VERSION, INTERNAL, or the code that the peer's handler failed with. A request is sent
 * at most once, and no layer below retries it: whether it may be retried only its sender knows.
 */
public interface RpcClient {
  /**
   * Sends a request.
   *
   * @param address of the process called, "ip:port"
   * @param request a message of {@code elmsail.rpc.messages}; it is encoded before this returns
   * @param responseType the future completes with objects of this class only
   * @param timeoutMs until the call fails with TIMEOUT, or NOT_SENT if it was still queued; a
   *     negative time counts as 0
   */
  <A> CompletableFuture<A> call(
      String address, Object request, Class<A> responseType, long timeoutMs);
}
