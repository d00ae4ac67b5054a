package willowdoor.lab.peers;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGeneratorFactory;
import willowdoor.lab.net.OwnLoop;
import willowdoor.lab.record.Recorder;

/** The emulated template servers of a run, on one event loop. */
public final class TemplateServers implements Closeable {

  private final OwnLoop own = new OwnLoop();
  private final Map<String, TemplateServer> servers = new LinkedHashMap<>();
  private final ServerSpec spec;
  private final Recorder records;
  private final long seed;

  public TemplateServers(ServerSpec spec, Recorder records, long seed) {
    this.spec = spec;
    this.records = records;
    this.seed = seed;
  }

  /** Starts a further one, warm. */
  public void add(String id, InetSocketAddress address) throws IOException {
    TemplateServer server =
        new TemplateServer(
            id,
            address,
            spec,
            records,
            RandomGeneratorFactory.of("L64X128MixRandom").create(seed ^ (long) id.hashCode() << 32),
            own);
    server.start(false);
    servers.put(id, server);
  }

  public Set<String> ids() {
    return servers.keySet();
  }

  public void stop(String id) {
    servers.get(id).stop();
  }

  /** Starts one again that was stopped; it is cold. */
  public void restart(String id) throws IOException {
    servers.get(id).start(true);
  }

  public void mode(String id, Mode mode) {
    servers.get(id).mode(mode);
  }

  @Override
  public void close() {
    servers.values().forEach(TemplateServer::stop);
    own.close();
  }
}
