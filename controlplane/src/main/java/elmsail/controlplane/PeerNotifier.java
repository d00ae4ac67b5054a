package elmsail.controlplane;

import elmsail.rpc.RpcClient;
import elmsail.rpc.messages.OpaqueMessage;
import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** Short messages between control-plane nodes, by their kind. */
final class PeerNotifier {
  private static final long CALL_TIMEOUT_MS = 300;

  private final RpcClient caller;
  private final Supplier<VoterSet> voters;
  private final String localAddress;
  private final Map<String, Supplier<OpaqueMessage>> handlers = new HashMap<>();

  PeerNotifier(RpcClient caller, Supplier<VoterSet> voters, String localAddress) {
    this.caller = caller;
    this.voters = voters;
    this.localAddress = localAddress;
  }

  /** Messages of that kind do this, and are answered with the kind alone. */
  void onNotification(String kind, Runnable action) {
    register(
        kind,
        () -> {
          action.run();
          return message(kind);
        });
  }

  /** Messages of that kind are answered so. */
  void register(String kind, Supplier<OpaqueMessage> handler) {
    handlers.put(kind, handler);
  }

  /** Has the other voters read the register at once; who misses it reads it soon anyway. */
  void notifyPeers(String kind) {
    for (Voter voter : voters.get().voters) {
      if (!voter.address.equals(localAddress)) {
        caller.call(voter.address, message(kind), OpaqueMessage.class, CALL_TIMEOUT_MS);
      }
    }
  }

  CompletableFuture<OpaqueMessage> handle(OpaqueMessage message) {
    Supplier<OpaqueMessage> handler = handlers.get(message.kind);
    if (handler == null) {
      return CompletableFuture.failedFuture(
          new ElmsailException(ErrorCode.MALFORMED, "a note of another kind"));
    }
    return CompletableFuture.completedFuture(handler.get());
  }

  private static OpaqueMessage message(String kind) {
    OpaqueMessage message = new OpaqueMessage();
    message.kind = kind;
    return message;
  }
}
