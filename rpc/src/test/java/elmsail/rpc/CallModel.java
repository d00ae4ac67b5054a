package elmsail.rpc;

import elmsail.runtime.ElmsailException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Two calls of one process to one address, whose process may be replaced by a new instance or by a
 * process of another address. Connections are pairs of queues; what is taken from them is decided
 * by the production classes {@link Handshake} and {@link CallTable}. All that may happen next is an
 * {@link #actions action}, so that a checker can try every order.
 */
final class CallModel {

  /** Deliberate mistakes, each in place of one thing that the production code does. */
  enum Defect {
    NONE,

    /** No mistake of ours: the foreign process runs whatever reaches it, but says who it is. */
    FOREIGN_PROCESS_CHECKS_NOTHING,

    /** The same foreign process, and a client that does not check who responds. */
    HELLO_NOT_CHECKED_BY_CLIENT,
    HELLO_NOT_CHECKED_BY_SERVER,
    RESPONSES_MATCHED_BY_ORDER,
    DUPLICATE_RESPONSE_ACCEPTED,
    ONE_TABLE_AND_FRAMES_OF_CLOSED_CONNECTIONS,
    CALL_RESENT_AFTER_A_RESET
  }

  /** What may happen next in a state. */
  enum Kind {
    SEND,
    TIMEOUT,
    /** The first frame in flight to the process arrives. */
    DELIVER_TO_PROCESS,
    /** The first frame in flight to the caller arrives. */
    DELIVER_TO_CALLER,
    RESET,
    RESPOND,
    RESPOND_TWICE,
    /** The process responds to a call that was never sent on this connection. */
    RESPOND_TO_UNKNOWN_CALL,
    REPLACE_PROCESS
  }

  /**
   * One step of the model.
   *
   * @param index of the call for SEND and TIMEOUT, of the process for REPLACE_PROCESS, otherwise of
   *     the connection
   * @param request index among the connection's unanswered requests; for RESPOND and RESPOND_TWICE
   */
  record Action(Kind kind, int index, int request) {
    Action(Kind kind, int index) {
      this(kind, index, 0);
    }
  }

  private static final long UNKNOWN_CALL_ID = 9;
  private static final String ADDRESS = "10.0.0.1:7720";
  private static final int CALLS = 2;
  private static final int MAX_REPLACEMENTS = 2;
  private static final HandshakeHello MEANT =
      new HandshakeHello(HandshakeHello.VERSION, ADDRESS, HandshakeHello.ANY_INSTANCE);

  /** The processes that may hold the address: two instances of the one meant, and a foreign one. */
  private static final HandshakeHello[] PROCESSES = {
    new HandshakeHello(HandshakeHello.VERSION, ADDRESS, 1),
    new HandshakeHello(HandshakeHello.VERSION, ADDRESS, 2),
    new HandshakeHello(HandshakeHello.VERSION, "10.0.0.1:7721", 3)
  };

  private static final int FOREIGN = 2;

  private final Defect defect;
  private final ModelCall[] calls = new ModelCall[CALLS];
  private final List<ModelConnection> connections = new ArrayList<>();
  private final CallTable<ModelCall> shared = new CallTable<>();
  private ModelConnection current;
  private int process;
  private int replacements;
  private int resets;
  private boolean duplicated;
  private boolean spliced;
  private long numbers;
  private String violation;

  CallModel(Defect defect) {
    this.defect = defect;
    for (int i = 0; i < CALLS; i++) {
      calls[i] = new ModelCall(i);
    }
  }

  /** What is wrong in this state, or null. */
  String violation() {
    return violation;
  }

  /** All that may happen next. */
  List<Action> actions() {
    List<Action> all = new ArrayList<>();
    for (ModelCall call : calls) {
      if (!call.sent) {
        all.add(new Action(Kind.SEND, call.index));
      } else if (call.ends == 0) {
        all.add(new Action(Kind.TIMEOUT, call.index));
      }
    }
    for (int i = 0; i < connections.size(); i++) {
      connectionActions(connections.get(i), i, all);
    }
    for (int i = 0; replacements < MAX_REPLACEMENTS && i < PROCESSES.length; i++) {
      if (i > 0 && i != process) {
        all.add(new Action(Kind.REPLACE_PROCESS, i));
      }
    }
    return all;
  }

  private void connectionActions(ModelConnection one, int i, List<Action> all) {
    if (!one.toProcess.isEmpty()) {
      all.add(new Action(Kind.DELIVER_TO_PROCESS, i));
    }
    boolean read = one.callerOpen || defect == Defect.ONE_TABLE_AND_FRAMES_OF_CLOSED_CONNECTIONS;
    if (!one.toCaller.isEmpty() && read) {
      all.add(new Action(Kind.DELIVER_TO_CALLER, i));
    }
    if (one.callerOpen && (!one.processOpen || resets == 0)) {
      all.add(new Action(Kind.RESET, i));
    }
    for (int h = 0; h < one.unansweredRequests.size() && one.processOpen; h++) {
      all.add(new Action(Kind.RESPOND, i, h));
      if (!duplicated) {
        all.add(new Action(Kind.RESPOND_TWICE, i, h));
      }
    }
    if (!spliced && one.processOpen && one.server.isComplete()) {
      all.add(new Action(Kind.RESPOND_TO_UNKNOWN_CALL, i));
    }
  }

  /** Performs one of the {@link #actions}. */
  void apply(Action action) {
    int index = action.index();
    switch (action.kind()) {
      case SEND -> send(calls[index]);
      case TIMEOUT -> timeOut(calls[index]);
      case DELIVER_TO_PROCESS -> deliverToProcess(connections.get(index));
      case DELIVER_TO_CALLER -> deliverToCaller(connections.get(index));
      case RESET -> {
        resets += connections.get(index).processOpen ? 1 : 0;
        reset(connections.get(index), "connection lost");
      }
      case RESPOND -> respond(connections.get(index), action.request(), 1);
      case RESPOND_TWICE -> {
        duplicated = true;
        respond(connections.get(index), action.request(), 2);
      }
      case RESPOND_TO_UNKNOWN_CALL -> {
        spliced = true;
        ModelConnection connection = connections.get(index);
        connection.toCaller.add(response(connection, UNKNOWN_CALL_ID));
      }
      case REPLACE_PROCESS -> {
        process = index;
        replacements++;
        connections.forEach(connection -> connection.processOpen = false);
      }
      default -> throw new IllegalArgumentException("unknown kind of action: " + action);
    }
  }

  private void timeOut(ModelCall call) {
    call.connection.table.remove(call.number);
    end(call, "timeout");
  }

  private void respond(ModelConnection connection, int request, int times) {
    Frame frame = connection.unansweredRequests.remove(request);
    for (int i = 0; i < times; i++) {
      connection.toCaller.add(response(connection, frame.callId()));
    }
  }

  private void send(ModelCall call) {
    if (current == null || !current.callerOpen) {
      boolean anew = defect == Defect.ONE_TABLE_AND_FRAMES_OF_CLOSED_CONNECTIONS;
      current =
          new ModelConnection(
              process, MEANT, PROCESSES[process], anew ? shared : new CallTable<>());
      numbers = anew ? 0 : numbers;
      connections.add(current);
      current.toProcess.add(hello(current.client.localHello()));
    }
    call.sent = true;
    call.number = ++numbers;
    call.connection = current;
    current.table.add(call.number, call);
    byte[] which = {(byte) call.index};
    current.toProcess.add(new Frame(Frame.REQUEST, call.number, MessageTypes.NONE, which));
  }

  private void deliverToProcess(ModelConnection one) {
    Frame frame = one.toProcess.poll();
    if (!one.processOpen) {
      return;
    }
    boolean unchecked = defect == Defect.HELLO_NOT_CHECKED_BY_SERVER || foreignChecksNothing();
    try {
      boolean wasComplete = one.server.isComplete();
      one.server.onFrame(frame);
      if (!wasComplete) {
        one.toCaller.add(hello(one.server.localHello()));
        return;
      }
    } catch (ElmsailException e) {
      if (!unchecked) {
        one.toCaller.add(hello(one.server.localHello()));
        one.processOpen = false;
        return;
      }
      if (frame.kind() == Frame.HELLO) {
        one.toCaller.add(hello(one.server.localHello()));
        return;
      }
    }
    run(one, frame);
  }

  private boolean foreignChecksNothing() {
    return defect == Defect.FOREIGN_PROCESS_CHECKS_NOTHING
        || defect == Defect.HELLO_NOT_CHECKED_BY_CLIENT;
  }

  private void run(ModelConnection one, Frame request) {
    ModelCall call = calls[request.payload()[0]];
    call.runs++;
    if (one.process == FOREIGN && !foreignChecksNothing()) {
      violation = "call " + call.index + " ran at a process that was not intended";
    } else if (call.runs > 1) {
      violation = "call " + call.index + " ran twice";
    }
    one.unansweredRequests.add(request);
  }

  private void deliverToCaller(ModelConnection one) {
    Frame frame = one.toCaller.poll();
    try {
      one.client.onFrame(frame);
    } catch (ElmsailException e) {
      if (defect != Defect.HELLO_NOT_CHECKED_BY_CLIENT) {
        reset(one, e.code().name());
        return;
      }
    }
    if (frame.kind() == Frame.RESPONSE) {
      onResponse(one, frame);
    }
  }

  private void onResponse(ModelConnection one, Frame frame) {
    ModelCall call;
    if (defect == Defect.RESPONSES_MATCHED_BY_ORDER) {
      call = firstOpen(one);
    } else if (defect == Defect.DUPLICATE_RESPONSE_ACCEPTED) {
      call = callOf(one, frame.callId());
    } else {
      call = one.table.remove(frame.callId());
    }
    if (call == null) {
      return;
    }
    ByteBuffer made = ByteBuffer.wrap(frame.payload());
    int by = made.getInt();
    int over = made.getInt();
    boolean own = made.getLong() == call.number && connections.get(over) == call.connection;
    if (!own || by == FOREIGN) {
      violation = "call " + call.index + " accepted a response that is not its own";
    }
    end(call, "answered by " + by);
  }

  private ModelCall firstOpen(ModelConnection one) {
    for (ModelCall call : calls) {
      if (call.connection == one && call.ends == 0) {
        one.table.remove(call.number);
        return call;
      }
    }
    return null;
  }

  private ModelCall callOf(ModelConnection one, long number) {
    for (ModelCall call : calls) {
      if (call.connection == one && call.number == number) {
        return call;
      }
    }
    return null;
  }

  private void reset(ModelConnection one, String outcome) {
    one.callerOpen = false;
    one.processOpen = false;
    if (defect == Defect.ONE_TABLE_AND_FRAMES_OF_CLOSED_CONNECTIONS) {
      return; // the calls stay in the one table until their time is over
    }
    for (ModelCall call : one.table.close()) {
      if (defect == Defect.CALL_RESENT_AFTER_A_RESET) {
        send(call);
      } else {
        end(call, outcome);
      }
    }
  }

  private void end(ModelCall call, String outcome) {
    call.ends++;
    call.outcome = outcome;
    if (call.ends > 1) {
      violation = "call " + call.index + " completed twice";
    }
  }

  private Frame response(ModelConnection one, long number) {
    byte[] made =
        ByteBuffer.allocate(16)
            .putInt(one.process)
            .putInt(connections.indexOf(one))
            .putLong(number)
            .array();
    return new Frame(Frame.RESPONSE, number, MessageTypes.NONE, made);
  }

  private static Frame hello(HandshakeHello hello) {
    return new Frame(Frame.HELLO, 0, MessageTypes.NONE, hello.toPayload());
  }

  /** Equal for two states from which the same may follow. */
  String key() {
    StringBuilder key = new StringBuilder();
    key.append(process).append(replacements).append(resets).append(duplicated).append(spliced);
    for (ModelCall call : calls) {
      int over = call.connection == null ? -1 : connections.indexOf(call.connection);
      key.append('|').append(call.sent).append(call.number).append(',').append(over);
      key.append(',').append(call.ends).append(call.runs).append(call.outcome);
    }
    for (ModelConnection one : connections) {
      key.append('/').append(one.process).append(one.callerOpen).append(one.processOpen);
      key.append(one.client.isComplete()).append(one.server.isComplete());
      append(key, one.toProcess);
      append(key, one.toCaller);
      append(key, one.unansweredRequests);
    }
    return key.append(current == null ? -1 : connections.indexOf(current)).toString();
  }

  private static void append(StringBuilder key, Iterable<Frame> frames) {
    key.append('[');
    for (Frame frame : frames) {
      key.append(frame.kind()).append('.').append(frame.callId()).append(' ');
    }
    key.append(']');
  }
}
