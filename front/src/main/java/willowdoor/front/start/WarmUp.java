package willowdoor.front.start;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.local.LocalAddress;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import willowdoor.front.discovery.BackendListUpdate;
import willowdoor.front.requests.Headers;
import willowdoor.policy.GatewayApi.BackendEntry;
import willowdoor.policy.GatewayApi.Phase;
import willowdoor.policy.GatewayApi.Plan;
import willowdoor.policy.GatewayApi.RequestClass;
import willowdoor.policy.GatewayApi.RetrySafety;
import willowdoor.policy.GatewayApi.Settings;

/** The in-process peers and synthetic requests that a gateway serves before it reports ready. */
public final class WarmUp {

  private static final int SERVERS = 8;

  /** Few enough customers that some exhaust their quota, so that rejections are warmed up too. */
  private static final int CUSTOMERS = 24;

  private static final String BODY = "{\"template\":\"lease\",\"fields\":{\"name\":\"warm-up\"}}";

  private final Settings settings;
  private final WarmUpPeers peers;
  private final SocketAddress door = new LocalAddress(WarmUp.class);

  /** Creates the peers on the gateway's own event loop, so that no thread waits for another. */
  public WarmUp(Settings settings, EventLoopGroup group) throws InterruptedException {
    this.settings = settings;
    peers = new WarmUpPeers(group);
  }

  /** The address at which the gateway listens. */
  public SocketAddress door() {
    return door;
  }

  public SocketAddress counter() {
    return peers.counter();
  }

  /** The template servers that the gateway uses. */
  public BackendListUpdate servers() {
    List<BackendEntry> entries = new ArrayList<>();
    Map<Long, SocketAddress> addresses = new HashMap<>();
    for (long id = 0; id < SERVERS; id++) {
      entries.add(new BackendEntry(id, settings.zone(), 0, Phase.SERVING, 1, 0));
      addresses.put(id, peers.server());
    }
    return new BackendListUpdate(0, true, entries, addresses);
  }

  /**
   * Sends requests of all classes and plans. Returns how many were answered within the time limit.
   */
  public int play(int requests, long limitMs) throws InterruptedException {
    return peers.play(door, this::request, requests, limitMs);
  }

  private String request(int number) {
    RequestClass type = settings.classes().get(number % settings.classes().size());
    Plan plan = settings.plans().get(number / settings.classes().size() % settings.plans().size());
    boolean safe = type.retrySafety() == RetrySafety.SAFE;
    return (safe ? "GET /" : "POST /")
        + type.name()
        + "/warm-up HTTP/1.1\r\nHost: warm-up\r\n"
        + Headers.REQUEST_ID
        + ": warm-up-"
        + number
        + "\r\n"
        + Headers.REQUEST_CLASS
        + ": "
        + type.name()
        + "\r\n"
        + Headers.PLAN
        + ": "
        + plan.name()
        + "\r\n"
        + Headers.CUSTOMER
        + ": "
        + Integer.toHexString(number % CUSTOMERS)
        + "\r\n"
        + Headers.TIMEOUT_MS
        + ": 10000\r\n"
        + (type.retrySafety() == RetrySafety.KEYED
            ? Headers.IDEMPOTENCY_KEY + ": " + number + "\r\n"
            : "")
        + Headers.QUOTA
        + ": units=1,spread="
        + settings.gateways()
        + ",first=0\r\n"
        + (safe ? "\r\n" : "Content-Length: " + BODY.length() + "\r\n\r\n" + BODY);
  }
}
