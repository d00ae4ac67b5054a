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

/**
 * Fetches the complete server list from the platform, page by page. Only one fetch runs at a time;
 * concurrent callers share its result. Owned by the event loop.
 */
public final class PlatformClient {
  private static final int MAX_PAGES = 500;
  private static final long PAGE_TIMEOUT_MS = 700;
  private static final int OK = 200;
  private static final int TOO_MANY_REQUESTS = 429;

  private final HttpClient client;
  private final String address;
  private final Timers timers;
  private CompletableFuture<List<ServerEntry>> inFlight;
  private Map<String, ServerEntry> serversById;
  private long startedAtMs;
  private long fetchedAtMs;
  private int pageCount;
  private int lastPageCount = 1;

  /** Creates a client of the platform at {@code address}, "ip:port". */
  public PlatformClient(HttpClient client, String address, Timers timers) {
    this.client = client;
    this.address = address;
    this.timers = timers;
  }

  /**
   * Fetches all servers, one entry for each id, sorted by id.
   *
   * @return a future that completes on the event loop; fails with RESOURCE_EXHAUSTED if the
   *     platform limits the rate (429), with MALFORMED on any response other than a complete page
   *     and on more than 500 pages, and with the failures of the HTTP client
   */
  public CompletableFuture<List<ServerEntry>> fetch() {
    if (inFlight != null) {
      return inFlight;
    }
    CompletableFuture<List<ServerEntry>> result = new CompletableFuture<>();
    inFlight = result;
    serversById = new TreeMap<>();
    startedAtMs = timers.now();
    pageCount = 0;
    requestPage(null);
    return result;
  }

  /**
   * When the last successful fetch started, in ms of the steady clock; the list may date from that
   * time.
   */
  public long fetchedAtMs() {
    return fetchedAtMs;
  }

  /** Number of HTTP calls that the last successful fetch made, at least 1. */
  public int lastPageCount() {
    return lastPageCount;
  }

  private void requestPage(String pageToken) {
    pageCount++;
    String path =
        pageToken == null
            ? "/servers"
            : "/servers?page_token=" + URLEncoder.encode(pageToken, StandardCharsets.UTF_8);
    client.get(address, path, PAGE_TIMEOUT_MS).whenComplete(this::onPageReply);
  }

  private void onPageReply(SimpleHttpResponse reply, Throwable failure) {
    if (failure != null) {
      endFetch().completeExceptionally(failure);
      return;
    }
    ServerListCodec.Page page;
    try {
      page = decodePage(reply);
    } catch (ElmsailException e) {
      endFetch().completeExceptionally(e);
      return;
    }
    onPage(page);
  }

  private void onPage(ServerListCodec.Page page) {
    for (ServerEntry server : page.servers()) {
      serversById.put(server.id(), server);
    }
    if (page.nextToken() == null) {
      fetchedAtMs = startedAtMs;
      lastPageCount = pageCount;
      List<ServerEntry> servers = List.copyOf(serversById.values());
      endFetch().complete(servers);
    } else if (pageCount >= MAX_PAGES) {
      endFetch()
          .completeExceptionally(failure(ErrorCode.MALFORMED, "more than " + MAX_PAGES + " pages"));
    } else {
      requestPage(page.nextToken());
    }
  }

  private ServerListCodec.Page decodePage(SimpleHttpResponse reply) {
    if (reply.status() == TOO_MANY_REQUESTS) {
      throw failure(ErrorCode.RESOURCE_EXHAUSTED, "rate limited, status " + reply.status());
    }
    if (reply.status() != OK) {
      throw failure(ErrorCode.MALFORMED, "status " + reply.status());
    }
    return ServerListCodec.decodePage(reply.body());
  }

  private ElmsailException failure(ErrorCode code, String reason) {
    return new ElmsailException(code, "server list of the platform at " + address + ": " + reason);
  }

  private CompletableFuture<List<ServerEntry>> endFetch() {
    CompletableFuture<List<ServerEntry>> result = inFlight;
    inFlight = null;
    serversById = null;
    return result;
  }
}
