package elmsail.soak;

/** One item's result as a read returns it. */
record ItemResult(String id, String state, String message) {}
