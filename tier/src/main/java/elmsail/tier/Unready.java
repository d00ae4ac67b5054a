package elmsail.tier;

import elmsail.station.Counters;
import elmsail.station.NettyLoop;
import elmsail.station.Settings;
import elmsail.station.http.HttpCall;
import elmsail.station.http.HttpHandler;
import elmsail.station.http.HttpReply;
import elmsail.station.http.HttpServing;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A program whose parts are not put together yet: it listens, and answers 503 to whatever is asked. It goes
 * once both programs do their work.
 */
final class Unready implements Program.Running, HttpHandler {

  private static final Logger LOG = LoggerFactory.getLogger(Unready.class);
  private static final int MOST_BODY = 8 * 1024 * 1024;

  private final Counters counters;
  private final List<HttpServing> listening = new ArrayList<>();

  /** @param slots those of its addresses that it listens at, where the settings name them */
  Unready(Settings settings, NettyLoop loop, String... slots) {
    counters = new Counters(loop);
    for (String slot : slots) {
      String address = settings.slots().get(slot);
      if (address != null) {
        HttpServing.listen(loop, address, this, MOST_BODY).whenComplete((serving, fault) -> {
          if (fault == null) {
            listening.add(serving);
            LOG.info("listening for {} at {}", slot, serving.address());
          } else {
            LOG.error("not listening for {}", slot, fault);
          }
        });
      }
    }
  }

  @Override
  public CompletableFuture<HttpReply> handle(HttpCall call) {
    counters.add("unready");
    return CompletableFuture.completedFuture(new HttpReply(503, Map.of("retry-after", "1"), new byte[0]));
  }

  @Override
  public void changed(Settings settings) {
    LOG.info("settings have changed, without effect");
  }

  @Override
  public void end(Runnable ended) {
    for (HttpServing serving : listening) {
      serving.close();
    }
    ended.run();
  }
}
