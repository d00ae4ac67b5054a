package elmsail.controlplane;

import elmsail.config.watch.ConfigWatcher;
import elmsail.rpc.messages.Voter;
import elmsail.runtime.Settings;
import elmsail.runtime.http.SimpleHttpRequest;
import elmsail.runtime.http.HttpHandler;
import elmsail.runtime.http.SimpleHttpResponse;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * Calls that only the holders of the head's voter slots can answer, as the stores speak just to
 * these. Others send the caller there: the control port is the same on all machines.
 */
record VoterRedirect(
    HttpHandler handler, Settings settings, ControlPlaneVoters voters, ConfigWatcher watcher)
    implements HttpHandler {
  private static final long LATELY_MS = 2_500;

  @Override
  public CompletableFuture<SimpleHttpResponse> handle(SimpleHttpRequest call) {
    if (voters.holdsSlot()) {
      return handler.handle(call);
    }
    String nearest = null;
    long least = LATELY_MS;
    for (Voter slot : voters.current().voters) {
      long ago = watcher.lastResponseAgeMs(slot.address);
      if (ago < least) {
        least = ago;
        nearest = slot.address;
      }
    }
    String control = settings.listenAddresses().get("control");
    if (nearest == null || control == null) {
      return Replies.now(Replies.why(503, "no other control-plane node is in touch"));
    }
    String to =
        nearest.substring(0, nearest.lastIndexOf(':'))
            + control.substring(control.lastIndexOf(':'));
    return Replies.now(
        new SimpleHttpResponse(307, Map.of("location", "http://" + to + call.path()), new byte[0]));
  }
}
