package elmsail.rpc;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** One connection of a {@link CallModel}: what is under way on it, and what each side knows. */
final class ModelConnection {
  final int process;
  final Handshake client;
  final Handshake server;
  final CallTable<ModelCall> table;
  final ArrayDeque<Frame> toProcess = new ArrayDeque<>();
  final ArrayDeque<Frame> toCaller = new ArrayDeque<>();

  /** Requests that run and are not answered yet. */
  final List<Frame> unansweredRequests = new ArrayList<>();

  boolean callerOpen = true;
  boolean processOpen = true;

  ModelConnection(
      int process, HandshakeHello intended, HandshakeHello reached, CallTable<ModelCall> table) {
    this.process = process;
    this.table = table;
    client = Handshake.forClient(intended);
    server = Handshake.forServer(reached);
  }
}
