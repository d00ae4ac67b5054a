package elmsail.rpc;

import java.util.concurrent.CompletableFuture;

/**
 * Calls to other processes. Everything runs on the process's one loop: futures complete there,
 * never inside {@code call}. They fail with an {@code ElmsailException}: UNSENT, BROKEN, SILENT,
 * FULL, NOT_SEATED, GARBLED, MISDIRECTED, UNSUPPORTED_VERSION, FAULT. A call is sent once at most,
 * and no layer below sends it again: whether to repeat it is for who called, by what the message's
 * keys make of a repeat.
 */
public interface RpcClient {
  /** Calls the process whose inner address is {@code peer} ("ip:port"). */
  <A> CompletableFuture<A> call(String peer, Object request, Class<A> responseType, long timeoutMs);
}
