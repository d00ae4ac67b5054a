package elmsail.station.http;

import java.util.concurrent.CompletableFuture;

/** Small calls to others' addresses. */
public interface HttpAsker {
  /** Fails with UNSENT, BROKEN, SILENT or GARBLED. The connection is closed afterwards. */
  CompletableFuture<HttpReply> get(String address, String pathAndQuery, long timeoutMs);
}
