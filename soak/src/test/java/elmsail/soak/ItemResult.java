package elmsail.soak;

/** One result as a read shows it. */
record ItemResult(String id, String state, String message) {}
