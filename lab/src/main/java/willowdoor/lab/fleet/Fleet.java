package willowdoor.lab.fleet;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import willowdoor.lab.record.Entry;
import willowdoor.lab.record.LabClock;
import willowdoor.lab.record.Recorder;

/**
 * The real front doors of a run, as processes. All of them are ended by their ids when it is
 * closed; when this process ends in another way its shutdown hook does it, and where that does not
 * run the undertaker.
 */
public final class Fleet implements Closeable {

  private static final Logger LOG = LoggerFactory.getLogger(Fleet.class);
  private static final long READY_LIMIT_MS = 30_000;
  private static final long ASK_MS = 40;
  private static final long ANSWER_MS = 1_000;

  /**
   * Is told when a front door's process begins, when it is ready, and when it is gone. On any
   * thread.
   */
  public interface Listener {
    void begun(String door);

    void up(String door);

    void down(String door);
  }

  private final LaunchLine launch;
  private final Loopback net;
  private final Recorder records;
  private final Path folder;
  private final EventLoopGroup calls;
  private final Function<String, ObjectNode> configs;
  private final List<String> flags;
  private final Map<String, Door> doors = new LinkedHashMap<>();
  private final List<Listener> listeners = new CopyOnWriteArrayList<>();
  private final List<Process> helpers = new ArrayList<>();
  private final Undertaker undertaker = new Undertaker();
  private final Thread hook = new Thread(this::endAll, "fleet-end");
  private volatile boolean closing;

  /**
   * Starts nothing yet.
   *
   * @param calls where calls to front doors are made from
   * @param configs a front door's configuration as its next process is to find it
   * @param flags further flags of the runtime
   */
  public Fleet(
      LaunchLine launch,
      Loopback net,
      Recorder records,
      Path folder,
      EventLoopGroup calls,
      Function<String, ObjectNode> configs,
      List<String> flags)
      throws IOException {
    this.launch = launch;
    this.net = net;
    this.records = records;
    this.folder = folder;
    this.calls = calls;
    this.configs = configs;
    this.flags = flags;
    Runtime.getRuntime().addShutdownHook(hook);
  }

  public void add(String id) throws IOException {
    Path own = folder.resolve(id);
    Files.createDirectories(own);
    doors.put(id, new Door(id, own, launch, records.clock(), this::ended));
  }

  public void listen(Listener listener) {
    listeners.add(listener);
  }

  public Collection<String> ids() {
    return doors.keySet();
  }

  /** Starts a front door; the future is done once it is ready, and false where it never was. */
  public CompletableFuture<Boolean> start(String id) throws IOException {
    ObjectNode config = configs.apply(id);
    Map<String, String> environment =
        Map.of(
            "GW_NAME",
            config.path("name").asText(),
            "GW_LISTEN",
            config.path("listen").asText(),
            "GW_DISCOVERY",
            config.path("discovery").asText(),
            "GW_MANAGEMENT",
            config.path("management").asText());
    long pid = doors.get(id).start(config, environment, flags);
    undertaker.started(pid);
    if (closing) {
      endAll();
    }
    listeners.forEach(l -> l.begun(id));
    CompletableFuture<Boolean> ready = new CompletableFuture<>();
    askReady(id, pid, records.clock().nowUs() + LabClock.us(READY_LIMIT_MS), ready);
    return ready;
  }

  /** Asks until the process says on both of its addresses that it serves. */
  private void askReady(String id, long pid, long untilUs, CompletableFuture<Boolean> ready) {
    Door door = doors.get(id);
    if (door.pid() != pid || records.clock().nowUs() > untilUs) {
      ready.complete(false);
      return;
    }
    ask(id, Loopback.OPERATORS, "/api/ready")
        .thenCombine(ask(id, Loopback.CLIENTS, "/up"), (a, b) -> a == 200 && b == 200)
        .thenAccept(
            yes -> {
              if (!yes) {
                calls.schedule(
                    () -> askReady(id, pid, untilUs, ready), ASK_MS, TimeUnit.MILLISECONDS);
              } else if (door.pid() == pid && door.ready()) {
                listeners.forEach(l -> l.up(id));
                ready.complete(true);
              } else {
                ready.complete(false);
              }
            });
  }

  private CompletableFuture<Integer> ask(String id, int port, String path) {
    return OneCall.send(calls, net.own(id, port), "GET", path, "", ANSWER_MS)
        .thenApply(OneCall.Answer::status);
  }

  /** Sends these front doors' processes a signal by its name, without the SIG, at once. */
  public void signal(Collection<String> ids, String name) throws IOException {
    List<Long> pids = new ArrayList<>();
    for (String id : ids) {
      long pid = doors.get(id).signalled(name);
      if (pid >= 0) {
        pids.add(pid);
      }
    }
    if (!pids.isEmpty()) {
      Signals.send(name, pids);
    }
    if (pids.size() < ids.size()) {
      throw new IOException("of " + ids + " only " + pids.size() + " ran");
    }
  }

  /** Gives the process a share of a core for a time. */
  public synchronized void starve(String id, double share, long forMs) throws IOException {
    long pid = doors.get(id).pid();
    if (pid < 0) {
      throw new IOException(id + " does not run");
    }
    helpers.add(Signals.starve(pid, share, forMs));
  }

  public boolean alive(String id) {
    return doors.get(id).alive();
  }

  /** Whether its process was ready once. */
  public boolean ready(String id) {
    return doors.get(id).isReady();
  }

  private void ended(Entry.Life life) {
    records.write(life);
    try {
      undertaker.ended(life.pid());
    } catch (IOException e) {
      LOG.warn("the undertaker is gone", e);
    }
    if (!closing) {
      listeners.forEach(l -> l.down(life.door()));
    }
  }

  /**
   * Ends all as at a planned restart, without telling listeners: SIGTERM, and a wait for their
   * ends.
   */
  public void end(long limitMs) throws IOException, InterruptedException {
    closing = true;
    List<String> running = doors.keySet().stream().filter(this::alive).toList();
    List<Process> ending = new ArrayList<>();
    running.forEach(
        id -> {
          Process process = doors.get(id).process();
          if (process != null) {
            ending.add(process);
          }
        });
    try {
      signal(running, "CONT");
      signal(running, "TERM");
    } catch (IOException e) {
      LOG.info("some ended by themselves: {}", e.getMessage());
    }
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(limitMs);
    for (Process process : ending) {
      process.waitFor(Math.max(0, until - System.nanoTime()), TimeUnit.NANOSECONDS);
    }
  }

  private synchronized void endAll() {
    closing = true;
    helpers.forEach(Process::destroy);
    for (Door door : doors.values()) {
      try {
        door.end();
      } catch (IOException e) {
        LOG.error("cannot end a front door", e);
      }
    }
  }

  @Override
  public void close() throws IOException {
    endAll();
    undertaker.close();
    try {
      Runtime.getRuntime().removeShutdownHook(hook);
    } catch (IllegalStateException e) {
      LOG.debug("already shutting down");
    }
  }
}
