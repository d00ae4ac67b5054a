package elmsail.rpc;

import java.util.concurrent.CompletableFuture;

/**
 * Calls other processes. Confined to the event loop: futures complete on it, never inside {@code
 * call}. They fail with an {@code ElmsailException} whose {@link elmsail.runtime.ErrorCode} says
 * whether the peer may have executed the call. A call is sent at most once and never retried by
 * this layer: only the caller knows whether its request is idempotent.
 */
public interface RpcClient {
  /**
   * Calls a process.
   *
   * @param peer its RPC address, "ip:port"
   * @param timeoutMs time for the response, from now
   */
  <A> CompletableFuture<A> call(String peer, Object request, Class<A> responseType, long timeoutMs);
}
