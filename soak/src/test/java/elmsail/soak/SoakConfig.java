package elmsail.soak;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;

/** The configurations that operators send: the same routes each time, and one that changes. */
final class SoakConfig {
  static final String HOST = "soak.example";
  static final String SERVICE = "svc";
  static final String BULK = "r-bulk";
  static final String LIMITED = "r-limited";
  static final long LIMIT_TOKENS = 3_000;
  static final int MAX_ATTEMPTS = 3;
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int ITEM_TTL_S = 100;

  private SoakConfig() {}

  /** The prefix of a batch route's paths. */
  static String prefix(String route) {
    return route.equals(BULK) ? "/bulk/" : "/limited/";
  }

  static Map<String, Long> limits() {
    return Map.of(LIMITED, LIMIT_TOKENS);
  }

  static String of(long version) {
    ObjectNode root = JSON.createObjectNode();
    root.put("edition", version);
    ArrayNode routes = root.putArray("routes");
    route(routes, "r-safe", "/safe/", "safe", 4_000);
    route(routes, "r-unsafe", "/unsafe/", "unsafe", 4_000);
    route(routes, "r-stream", "/stream/", "stream", 4_000).put("gap_aim_ms", 150);
    route(routes, "r-changing", "/changing/", "safe", 1_000 + version);
    batch(routes, BULK, 0);
    batch(routes, LIMITED, LIMIT_TOKENS);
    ObjectNode service = root.putArray("postal_lines").addObject();
    service.put("name", SERVICE).put("health", "/health").put("berth_cap", 200);
    service.put("protocol", "h1").put("sealed", false);
    ObjectNode engine = service.putObject("engine");
    engine
        .put("berths", FakeModelServer.MAX_CONCURRENCY)
        .put("kv_tokens", 400_000)
        .put("kv_bytes", 131_072);
    engine.put("link_mbps", 1_000.0).put("stride", 16);
    engine.putArray("models").addObject().put("name", "m");
    root.putObject("limits")
        .put("envelope_bytes", 16_384)
        .put("parcel_bytes", 4_194_304)
        .put("envelope_ms", 3_000)
        .put("idle_ms", 15_000);
    return root.toString();
  }

  private static ObjectNode route(
      ArrayNode routes, String name, String prefix, String kind, long giveUpMs) {
    return routes
        .addObject()
        .put("name", name)
        .put("depot", HOST)
        .put("lane_prefix", prefix)
        .put("route_class", kind)
        .put("give_up_ms", giveUpMs)
        .put("due_ms", 500)
        .put("precedence", 0)
        .put("postal_line", SERVICE)
        .put("tries", 2)
        .put("same_carrier", false);
  }

  private static void batch(ArrayNode routes, String name, long limit) {
    routes
        .addObject()
        .put("name", name)
        .put("depot", HOST)
        .put("lane_prefix", prefix(name))
        .put("route_class", "sack")
        .put("due_ms", 1_500)
        .put("run_due_ms", 10_000)
        .put("precedence", 1)
        .put("postal_line", SERVICE)
        .put("tries", MAX_ATTEMPTS)
        .put("same_carrier", true)
        .put("shelf_s", ITEM_TTL_S)
        .put("most_waiting", limit);
  }
}
