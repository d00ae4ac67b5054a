package elmsail.soak;

/** One result as a read shows it. */
record Delivery(String id, String state, String message) {}
