package elmsail.controlplane;

import elmsail.config.watch.ConfigWatcher;
import elmsail.rpc.messages.Voter;
import elmsail.runtime.Settings;
import elmsail.runtime.http.HttpHandler;
import elmsail.runtime.http.SimpleHttpRequest;
import elmsail.runtime.http.SimpleHttpResponse;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * Handles calls that only control-plane voters can answer, because stores send heartbeats only to
 * voters. Other nodes redirect the caller to a voter with 307; the control port is the same on all
 * machines.
 *
 * @param handler handles the calls if this process holds a voter slot
 * @param settings of this process
 * @param voters this process's part in the control-plane voters
 * @param configWatcher reports how long ago each control-plane node responded
 */
record VoterRedirect(
    HttpHandler handler, Settings settings, ControlPlaneVoters voters, ConfigWatcher configWatcher)
    implements HttpHandler {
  private static final long MAX_HEARTBEAT_AGE_MS = 2_500;

  @Override
  public CompletableFuture<SimpleHttpResponse> handle(SimpleHttpRequest request) {
    if (voters.holdsVoterSlot()) {
      return handler.handle(request);
    }
    String target = null;
    long lowestAgeMs = MAX_HEARTBEAT_AGE_MS;
    for (Voter voter : voters.current().voters) {
      long ageMs = configWatcher.lastResponseAgeMs(voter.address);
      if (ageMs < lowestAgeMs) {
        lowestAgeMs = ageMs;
        target = voter.address;
      }
    }
    String controlAddress = settings.listenAddresses().get("control");
    if (target == null || controlAddress == null) {
      return Replies.completed(Replies.error(503, "no other control-plane node is in touch"));
    }
    String targetAddress =
        target.substring(0, target.lastIndexOf(':'))
            + controlAddress.substring(controlAddress.lastIndexOf(':'));
    return Replies.completed(
        new SimpleHttpResponse(
            307, Map.of("location", "http://" + targetAddress + request.path()), new byte[0]));
  }
}
