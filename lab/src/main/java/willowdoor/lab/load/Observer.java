package willowdoor.lab.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.TextNode;
import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import willowdoor.lab.fleet.OneCall;
import willowdoor.lab.record.Entry;
import willowdoor.lab.record.Recorder;

/**
 * Asks one front door the same thing on its operators' address again and again, and records what it
 * says.
 */
public final class Observer {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final long LIMIT_MS = 1_000;

  private final EventLoopGroup group;
  private final Recorder records;
  private final String door;
  private final InetSocketAddress address;
  private final String path;
  private boolean waits;

  public Observer(
      EventLoopGroup group, Recorder records, String door, InetSocketAddress address, String path) {
    this.group = group;
    this.records = records;
    this.door = door;
    this.address = address;
    this.path = path;
  }

  /** Begins; a call is left out while the one before has no answer. */
  public Future<?> every(long ms) {
    return group.scheduleAtFixedRate(this::ask, 0, ms, TimeUnit.MILLISECONDS);
  }

  private synchronized void ask() {
    if (waits) {
      return;
    }
    waits = true;
    long begin = records.clock().nowUs();
    OneCall.send(group, address, "GET", path, "", LIMIT_MS)
        .thenAccept(
            answer -> {
              records.write(
                  new Entry.Seen(
                      begin,
                      records.clock().nowUs(),
                      door,
                      path,
                      answer.status(),
                      parse(answer.body())));
              over();
            });
  }

  private synchronized void over() {
    waits = false;
  }

  /** What is not JSON is kept as the text that it is. */
  private static JsonNode parse(String body) {
    try {
      JsonNode parsed = JSON.readTree(body);
      return parsed == null || parsed.isMissingNode() ? TextNode.valueOf("") : parsed;
    } catch (JsonProcessingException e) {
      return TextNode.valueOf(body);
    }
  }
}
