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
final class PeerNotices {
  private static final long ANSWER_WITHIN_MS = 300;

  private final RpcClient caller;
  private final Supplier<VoterSet> voters;
  private final String ownAddress;
  private final Map<String, Supplier<OpaqueMessage>> handlers = new HashMap<>();

  PeerNotices(RpcClient caller, Supplier<VoterSet> voters, String ownAddress) {
    this.caller = caller;
    this.voters = voters;
    this.ownAddress = ownAddress;
  }

  /** Messages of that kind do this, and are answered with the kind alone. */
  void on(String kind, Runnable then) {
    answer(
        kind,
        () -> {
          then.run();
          return message(kind);
        });
  }

  /** Messages of that kind are answered so. */
  void answer(String kind, Supplier<OpaqueMessage> handler) {
    handlers.put(kind, handler);
  }

  /** Has the other voters read the register at once; who misses it reads it soon anyway. */
  void tell(String kind) {
    for (Voter voter : voters.get().voters) {
      if (!voter.address.equals(ownAddress)) {
        caller.call(voter.address, message(kind), OpaqueMessage.class, ANSWER_WITHIN_MS);
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
