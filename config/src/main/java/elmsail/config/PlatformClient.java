package elmsail.config;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.runtime.Timers;
import elmsail.runtime.http.HttpClient;
import elmsail.runtime.http.SimpleHttpResponse;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

/** Fetches the platform's whole list of servers, page by page, one fetch at a time. */
public final class PlatformClient {
  private static final int MOST_PAGES = 500;
  private static final long PAGE_MS = 700;

  private final HttpClient client;
  private final String address;
  private final Timers timers;
  private CompletableFuture<List<ServerEntry>> running;
  private Map<String, ServerEntry> found;
  private long begunAt;
  private long takenAt;
  private int pages;
  private int lastPages = 1;

  /** {@code address}: the platform's "ip:port". */
  public PlatformClient(HttpClient client, String address, Timers timers) {
    this.client = client;
    this.address = address;
    this.timers = timers;
  }

  /**
   * All servers, each id once, in the order of their ids. While one fetch runs, others join it.
   * Fails with FULL if the platform has had too many calls (429), GARBLED on any other answer but a
   * whole page, or on more than 500 pages, and as the client does.
   */
  public CompletableFuture<List<ServerEntry>> fetch() {
    if (running != null) {
      return running;
    }
    CompletableFuture<List<ServerEntry>> mine = new CompletableFuture<>();
    running = mine;
    found = new TreeMap<>();
    begunAt = timers.now();
    pages = 0;
    request(null);
    return mine;
  }

  /** When the last whole list's fetch began, steady ms: the list is no newer than this. */
  public long takenAt() {
    return takenAt;
  }

  /** How many calls the last whole list took, at least 1. */
  public int lastPages() {
    return lastPages;
  }

  private void request(String token) {
    pages++;
    String path =
        token == null
            ? "/servers"
            : "/servers?page_token=" + URLEncoder.encode(token, StandardCharsets.UTF_8);
    client.get(address, path, PAGE_MS).whenComplete(this::answered);
  }

  private void answered(SimpleHttpResponse reply, Throwable thrown) {
    ServerList.Page page = null;
    Throwable fault = thrown;
    if (fault == null) {
      try {
        page = page(reply);
      } catch (ElmsailException e) {
        fault = e;
      }
    }
    if (fault != null) {
      end().completeExceptionally(fault);
      return;
    }
    for (ServerEntry server : page.servers()) {
      found.put(server.id(), server);
    }
    if (page.nextToken() == null) {
      takenAt = begunAt;
      lastPages = pages;
      List<ServerEntry> all = List.copyOf(found.values());
      end().complete(all);
    } else if (pages >= MOST_PAGES) {
      end()
          .completeExceptionally(
              new ElmsailException(
                  ErrorCode.MALFORMED, "the list of servers has more than " + MOST_PAGES + " pages"));
    } else {
      request(page.nextToken());
    }
  }

  private static ServerList.Page page(SimpleHttpResponse reply) {
    if (reply.status() == 429) {
      throw new ElmsailException(ErrorCode.RESOURCE_EXHAUSTED, "the platform has had too many calls");
    }
    if (reply.status() != 200) {
      throw new ElmsailException(ErrorCode.MALFORMED, "the platform answered " + reply.status());
    }
    return ServerList.page(reply.body());
  }

  private CompletableFuture<List<ServerEntry>> end() {
    CompletableFuture<List<ServerEntry>> mine = running;
    running = null;
    found = null;
    return mine;
  }
}
