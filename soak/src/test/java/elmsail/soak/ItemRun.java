package elmsail.soak;

/**
 * A request that reached a server.
 *
 * @param machine where it came from
 * @param lastEventId -1 where it names none
 */
record ItemRun(
    String id,
    String machine,
    String server,
    String host,
    String path,
    String body,
    int lastEventId,
    long atMs) {}
