package elmsail.controlplane;

import elmsail.rpc.RpcClient;
import elmsail.rpc.messages.OpaqueMessage;
import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * Sends and handles short messages between the control-plane voters, distinguished by their kind.
 * Runs on the event loop.
 *
 * <p>A notification only shortens the time until a peer sees a change: a peer that misses the
 * notification reads the register at its next interval.
 */
final class PeerNotifier {
  private static final long CALL_TIMEOUT_MS = 300;

  private final RpcClient rpcClient;
  private final Supplier<VoterSet> voters;
  private final String localAddress;
  private final Map<PeerMessageKind, Supplier<OpaqueMessage>> handlers =
      new EnumMap<>(PeerMessageKind.class);

  PeerNotifier(RpcClient rpcClient, Supplier<VoterSet> voters, String localAddress) {
    this.rpcClient = rpcClient;
    this.voters = voters;
    this.localAddress = localAddress;
  }

  /**
   * Runs the action for each message of that kind and responds with a message of the same kind
   * without content.
   */
  void onNotification(PeerMessageKind kind, Runnable action) {
    register(
        kind,
        () -> {
          action.run();
          return message(kind);
        });
  }

  /** Responds to messages of that kind with what the handler returns. */
  void register(PeerMessageKind kind, Supplier<OpaqueMessage> handler) {
    handlers.put(kind, handler);
  }

  /** Sends a notification of that kind to all other voters; failures are ignored. */
  void notifyPeers(PeerMessageKind kind) {
    for (Voter voter : voters.get().voters) {
      if (!voter.address.equals(localAddress)) {
        rpcClient.call(voter.address, message(kind), OpaqueMessage.class, CALL_TIMEOUT_MS);
      }
    }
  }

  /** Handles a peer's message; the future fails with MALFORMED if its kind has no handler. */
  CompletableFuture<OpaqueMessage> handle(OpaqueMessage message) {
    Optional<Supplier<OpaqueMessage>> handler =
        PeerMessageKind.ofWireName(message.kind).map(handlers::get);
    if (handler.isEmpty()) {
      return CompletableFuture.failedFuture(
          new ElmsailException(
              ErrorCode.MALFORMED, "peer message of unknown kind: " + message.kind));
    }
    return CompletableFuture.completedFuture(handler.get().get());
  }

  /** A message of that kind without content. */
  static OpaqueMessage message(PeerMessageKind kind) {
    OpaqueMessage message = new OpaqueMessage();
    message.kind = kind.wireName();
    return message;
  }
}
