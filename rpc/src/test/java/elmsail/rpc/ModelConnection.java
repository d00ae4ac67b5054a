package elmsail.rpc;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** One connection of a {@link CallModel}: what is under way on it, and what each side knows. */
final class ModelConnection {
  final int process;
  final Handshake caller;
  final Handshake accepting;
  final CallTable<ModelCall> table;
  final ArrayDeque<Frame> toProcess = new ArrayDeque<>();
  final ArrayDeque<Frame> toCaller = new ArrayDeque<>();

  /** Requests that run and are not answered yet. */
  final List<Frame> held = new ArrayList<>();

  boolean callerOpen = true;
  boolean processOpen = true;

  ModelConnection(int process, Hello meant, Hello reached, CallTable<ModelCall> table) {
    this.process = process;
    this.table = table;
    caller = Handshake.ofCaller(meant);
    accepting = Handshake.ofAccepting(reached);
  }
}
