package elmsail.rpc;

import elmsail.runtime.ElmsailException;

/**
 * Runs the handler of each request that a connection brings, and sends back its response or error
 * code on that connection. Used on the loop only.
 */
final class InboundRequests {

  private final RpcContext context;
  private final HandlerRegistry handlers;

  InboundRequests(RpcContext context, HandlerRegistry handlers) {
    this.context = context;
    this.handlers = handlers;
  }

  /**
   * Handles one REQUEST frame; rejected with RESOURCE_EXHAUSTED where too many of the connection
   * are open.
   *
   * @throws ElmsailException with MALFORMED if the payload cannot be decoded
   */
  void handle(RpcConnection connection, Frame frame) {
    Object request = context.codec().read(frame.type(), frame.payload(), 0, frame.payload().length);
    context.counters().requestsReceived++;
    if (!connection.tryBeginRequest()) {
      connection.rejectRequest(frame.callId());
      return;
    }
    handlers
        .handle(request)
        .whenComplete(
            (response, failure) -> {
              if (context.loop().inEventLoop()) {
                respond(connection, frame.callId(), response, failure);
              } else {
                context
                    .loop()
                    .execute(() -> respond(connection, frame.callId(), response, failure));
              }
            });
  }

  private static void respond(
      RpcConnection connection, long callId, Object response, Throwable failure) {
    if (failure == null) {
      connection.respond(callId, response);
    } else {
      connection.respondFailure(callId, ElmsailException.codeOf(failure));
    }
  }
}
