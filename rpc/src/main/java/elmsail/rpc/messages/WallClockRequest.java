package elmsail.rpc.messages;

/** Asks for a control-plane node's time of day. Answered with a {@link WallClockResponse}. */
public final class WallClockRequest {}
